package machine

import (
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/wire"
)

// Publish puts a record about this instance into the exchange. sequence must
// grow with every change within the incarnation.
func (i *Instance) Publish(kind wire.Record_Kind, sequence uint64, value proto.Message) {
	data, err := proto.Marshal(value)
	if err != nil {
		i.Log.Error().Err(err).Msg("record not published")
		return
	}
	record := &wire.Record{
		Kind:  kind,
		Key:   i.Settings.Instance,
		Major: i.Incarnation,
		Minor: sequence,
		Value: data,
	}
	i.Store.Merge([]*wire.Record{record})
}
