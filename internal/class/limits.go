package class

// Limits on a document.
const (
	// MaxDocumentBytes bounds the size of the YAML form, in bytes.
	MaxDocumentBytes = 64 << 10
	// MaxClasses bounds the number of classes.
	MaxClasses = 64
	// MaxMistakes bounds the number of mistakes that one call of Decode reports.
	MaxMistakes = 50
	// MaxNesting bounds the depth of brackets in the YAML form.
	MaxNesting = 16
)

// Validation rules of the fields, in the syntax of the validator package.
const (
	ruleName         = "class_name"
	ruleLateness     = "min=1ms,max=24h"
	ruleVersions     = "min=0,max=1000"
	ruleAge          = "min=1s,max=720h"
	ruleCompleteness = "gt=0,lte=100"
)

// percent converts between a fraction and a percentage.
const percent = 100
