package class

// Bounds of a document.
const (
	// MaxDocumentBytes bounds the YAML form.
	MaxDocumentBytes = 64 << 10
	// MaxClasses bounds the number of classes.
	MaxClasses = 64
	// MaxMistakes bounds the mistakes that one decoding reports.
	MaxMistakes = 50
	// MaxNesting bounds the depth of brackets in the YAML form.
	MaxNesting = 16
)

// Rules of the values, in the validator's terms.
const (
	ruleName         = "class_name"
	ruleLateness     = "min=1ms,max=24h"
	ruleVersions     = "min=0,max=1000"
	ruleAge          = "min=1s,max=720h"
	ruleCompleteness = "gt=0,lte=100"
)

// percent is the factor between a share and its percentage.
const percent = 100
