package tableservice

import (
	"strconv"
	"strings"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/rotisserie/eris"

	"flamingoreach/core/row"
	"flamingoreach/core/rowwrite"
)

const (
	collectionAttribute = "collection"
	nameAttribute       = "name"
	revisionAttribute   = "revision"
	valueAttribute      = "value"

	updateExpression = "ADD #revision :one SET #value = :value"
	absentCondition  = "attribute_not_exists(#revision)"
	equalCondition   = "#revision = :expected"
)

// encodeWrite maps a write to the action of a transaction that has the same condition and effect.
func encodeWrite(table string, wri rowwrite.Write) (types.TransactWriteItem, error) {
	id, err := primaryKey(wri.Key)
	if err != nil {
		return types.TransactWriteItem{}, err
	}
	con := newCondition(wri)
	switch {
	case wri.CheckOnly && con.expression == nil:
		return types.TransactWriteItem{}, eris.Errorf("encode write of %s: a check needs a condition", wri.Key)
	case wri.CheckOnly:
		return types.TransactWriteItem{ConditionCheck: &types.ConditionCheck{
			TableName: &table, Key: id, ConditionExpression: con.expression,
			ExpressionAttributeNames: con.names, ExpressionAttributeValues: con.values,
		}}, nil
	case wri.Delete:
		return types.TransactWriteItem{Delete: &types.Delete{
			TableName: &table, Key: id, ConditionExpression: con.expression,
			ExpressionAttributeNames: con.names, ExpressionAttributeValues: con.values,
		}}, nil
	}
	con.addUpdate(wri.Value)
	return types.TransactWriteItem{Update: &types.Update{
		TableName: &table, Key: id, UpdateExpression: aws.String(updateExpression), ConditionExpression: con.expression,
		ExpressionAttributeNames: con.names, ExpressionAttributeValues: con.values,
	}}, nil
}

// condition is the condition of one action with the names and values that its expressions refer to.
type condition struct {
	expression *string
	names      map[string]string
	values     map[string]types.AttributeValue
}

func newCondition(wri rowwrite.Write) condition {
	switch {
	case wri.Unconditional:
		return condition{}
	case wri.Expected == 0:
		return condition{expression: aws.String(absentCondition), names: map[string]string{"#revision": revisionAttribute}}
	}
	return condition{
		expression: aws.String(equalCondition),
		names:      map[string]string{"#revision": revisionAttribute},
		values:     map[string]types.AttributeValue{":expected": number(wri.Expected)},
	}
}

func (con *condition) addUpdate(value []byte) {
	con.names = map[string]string{"#revision": revisionAttribute, "#value": valueAttribute}
	if con.values == nil {
		con.values = map[string]types.AttributeValue{}
	}
	con.values[":one"] = number(1)
	con.values[":value"] = &types.AttributeValueMemberB{Value: append([]byte{}, value...)}
}

func primaryKey(key string) (map[string]types.AttributeValue, error) {
	collection, name, found := strings.Cut(key, "/")
	if !found || collection == "" || name == "" {
		return nil, eris.Errorf("split row key %q: want collection/name", key)
	}
	return map[string]types.AttributeValue{collectionAttribute: text(collection), nameAttribute: text(name)}, nil
}

func decodeRow(item map[string]types.AttributeValue) (row.Row, error) {
	collection, isCollection := item[collectionAttribute].(*types.AttributeValueMemberS)
	name, isName := item[nameAttribute].(*types.AttributeValueMemberS)
	revision, isRevision := item[revisionAttribute].(*types.AttributeValueMemberN)
	value, isValue := item[valueAttribute].(*types.AttributeValueMemberB)
	if !isCollection || !isName || !isRevision || !isValue {
		return row.Row{}, eris.New("decode row: an attribute is missing or has another type")
	}
	count, err := strconv.ParseUint(revision.Value, 10, 64)
	if err != nil {
		return row.Row{}, eris.Wrap(err, "decode row: revision")
	}
	return row.Row{Key: collection.Value + "/" + name.Value, Revision: count, Value: value.Value}, nil
}

func text(value string) *types.AttributeValueMemberS {
	return &types.AttributeValueMemberS{Value: value}
}

func number(value uint64) *types.AttributeValueMemberN {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(value, 10)}
}
