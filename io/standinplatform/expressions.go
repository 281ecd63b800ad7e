package standinplatform

import (
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// attribute is one typed value of the DynamoDB JSON protocol.
type attribute struct {
	S *string `json:",omitempty"`
	N *string `json:",omitempty"`
	B *[]byte `json:",omitempty"`
}

type attributes map[string]attribute

// transactItem is one action of a transaction as the protocol encodes it.
type transactItem struct {
	ConditionCheck *transactAction `json:",omitempty"`
	Delete         *transactAction `json:",omitempty"`
	Update         *transactAction `json:",omitempty"`
}

type transactAction struct {
	Key                       attributes
	ConditionExpression       string
	UpdateExpression          string
	ExpressionAttributeNames  map[string]string
	ExpressionAttributeValues attributes
}

// expressions resolves the names and values of a request's expressions.
type expressions struct {
	names  map[string]string
	values attributes
}

func (att attributes) rowKey() (rowKey, error) {
	collection, name := att["collection"].S, att["name"].S
	if collection == nil || name == nil || *collection == "" || *name == "" {
		return rowKey{}, eris.New("the key needs collection and name")
	}
	return rowKey{*collection, *name}, nil
}

func newAttributes(key rowKey, present item) attributes {
	revision := strconv.FormatUint(present.revision, 10)
	return attributes{
		"collection": {S: &key.collection},
		"name":       {S: &key.name},
		"revision":   {N: &revision},
		"value":      {B: &present.value},
	}
}

func (ite transactItem) action() (action, error) {
	switch {
	case ite.ConditionCheck != nil:
		if ite.ConditionCheck.ConditionExpression == "" {
			return action{}, eris.New("a condition check needs a condition")
		}
		return ite.ConditionCheck.action(action{})
	case ite.Delete != nil:
		return ite.Delete.action(action{remove: true})
	case ite.Update != nil:
		return ite.Update.update()
	}
	return action{}, eris.New("unknown action")
}

func (tra *transactAction) action(act action) (action, error) {
	key, err := tra.Key.rowKey()
	if err != nil {
		return action{}, err
	}
	act.key = key
	exp := expressions{names: tra.ExpressionAttributeNames, values: tra.ExpressionAttributeValues}
	act.condition, err = exp.condition(tra.ConditionExpression)
	return act, err
}

// update parses the only supported form, "ADD attribute :number SET attribute :binary" for the attributes revision and value.
func (tra *transactAction) update() (action, error) {
	exp := expressions{names: tra.ExpressionAttributeNames, values: tra.ExpressionAttributeValues}
	words := strings.Fields(tra.UpdateExpression)
	if len(words) != 7 || words[0] != "ADD" || words[3] != "SET" || words[5] != "=" ||
		exp.names[words[1]] != "revision" || exp.names[words[4]] != "value" {
		return action{}, eris.Errorf("unknown update expression %q", tra.UpdateExpression)
	}
	increment, err := exp.number(words[2])
	if err != nil {
		return action{}, err
	}
	value := exp.values[words[6]].B
	if value == nil {
		return action{}, eris.Errorf("%s is not binary", words[6])
	}
	if len(*value) > itemSizeLimit {
		return action{}, eris.New("Item size has exceeded the maximum allowed size")
	}
	return tra.action(action{update: true, increment: increment, value: *value})
}

// condition parses the two supported forms, "attribute_not_exists(name)" and "name = :number" for the attribute revision.
func (exp expressions) condition(text string) (func(item, bool) bool, error) {
	if text == "" {
		return nil, nil
	}
	if name, found := strings.CutPrefix(text, "attribute_not_exists("); found {
		if exp.names[strings.TrimSuffix(name, ")")] != "revision" {
			return nil, eris.Errorf("unknown condition %q", text)
		}
		return func(_ item, exists bool) bool { return !exists }, nil
	}
	name, value, found := strings.Cut(text, " = ")
	if !found || exp.names[name] != "revision" {
		return nil, eris.Errorf("unknown condition %q", text)
	}
	expected, err := exp.number(value)
	if err != nil {
		return nil, err
	}
	return func(present item, exists bool) bool { return exists && present.revision == expected }, nil
}

// partition parses the only supported form, "name = :text" for the attribute collection.
func (exp expressions) partition(text string) (string, error) {
	name, value, found := strings.Cut(text, " = ")
	collection := exp.values[value].S
	if !found || exp.names[name] != "collection" || collection == nil {
		return "", eris.Errorf("unknown key condition %q", text)
	}
	return *collection, nil
}

func (exp expressions) number(name string) (uint64, error) {
	text := exp.values[name].N
	if text == nil {
		return 0, eris.Errorf("%s is not a number", name)
	}
	return strconv.ParseUint(*text, 10, 64)
}
