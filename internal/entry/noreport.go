package entry

import "github.com/comfreyfront/comfreyfront/internal/traffic"

type noReport struct{}

func (noReport) Text() string { return "no report yet\n" }
func (noReport) HTML() string { return "no report yet\n" }

type noRecorder struct{}

func (noRecorder) Record(traffic.Record) {}
