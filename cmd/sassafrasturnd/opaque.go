package main

import (
	"context"

	"sassafrasturn.example/internal/machine"
	"sassafrasturn.example/internal/machine/control"
	opaqueagent "sassafrasturn.example/internal/machine/opaque/agent"
	opaquebalancer "sassafrasturn.example/internal/machine/opaque/balancer"
	"sassafrasturn.example/internal/settings"
	"sassafrasturn.example/platform"
)

// addOpaqueRole adds the role of an instance in the opaque mode and serves the
// platform's HTTP calls to it. The calls are served while the role drains, too.
func addOpaqueRole(ctx context.Context, instance *machine.Instance) error {
	starting := ctx
	ctx = context.WithoutCancel(ctx)
	s := instance.Settings
	switch s.Role {
	case settings.RoleBalancer:
		b, err := opaquebalancer.New(instance, platform.Codec{})
		if err != nil {
			return err
		}
		instance.AddRole(b)
		return platform.ServeReady(ctx, s.Opaque.Ready, b)
	case settings.RoleAgent:
		a, err := opaqueagent.New(instance, platform.Codec{})
		if err != nil {
			return err
		}
		instance.AddRole(a)
		return platform.ServeAnnouncements(ctx, s.Opaque.Announce, a, s.Opaque.Endpoint, instance.Log)
	default:
		c, err := control.New(starting, instance)
		if err != nil {
			return err
		}
		instance.AddRole(c)
		return platform.ServeOperator(ctx, s.Opaque.Operator, c, instance.Log)
	}
}
