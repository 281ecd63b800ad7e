package standinplatform

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"github.com/rotisserie/eris"

	"flamingoreach/io/standinplatform/faults"
)

const (
	tableBodyLimit = 4 << 20
	targetPrefix   = "DynamoDB_20120810."
	errorPrefix    = "com.amazonaws.dynamodb.v20120810#"

	validationError = "ValidationException"
	cancelledError  = "TransactionCanceledException"
	mismatchError   = "IdempotentParameterMismatchException"
)

// serviceError is the body of an error answer of the table service.
type serviceError struct {
	Type    string               `json:"__type"`
	Message string               `json:"message"`
	Reasons []cancellationReason `json:"CancellationReasons,omitempty"`
}

type cancellationReason struct {
	Code    string `json:"Code"`
	Message string `json:"Message,omitempty"`
}

func tableOutage(fau faults.Faults) bool { return fau.TableOutage }

// tableHandler serves the operations GetItem, Query and TransactWriteItems.
func (pla *Platform) tableHandler() http.Handler {
	return http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(wri, req.Body, tableBodyLimit))
		if err != nil {
			writeTableAnswer(wri, nil, newServiceError(validationError, err.Error()))
			return
		}
		pla.applyRequestFaults(req, tableOutage)
		switch operation := strings.TrimPrefix(req.Header.Get("X-Amz-Target"), targetPrefix); operation {
		case "GetItem":
			out, fault := pla.getItem(body)
			writeTableAnswer(wri, out, fault)
		case "Query":
			out, fault := pla.query(body)
			writeTableAnswer(wri, out, fault)
		case "TransactWriteItems":
			out, fault := pla.transact(body)
			pla.applyAnswerFaults()
			writeTableAnswer(wri, out, fault)
		default:
			writeTableAnswer(wri, nil, newServiceError("UnknownOperationException", operation))
		}
	})
}

func (pla *Platform) getItem(body []byte) (any, *serviceError) {
	var input struct{ Key attributes }
	if err := json.Unmarshal(body, &input); err != nil {
		return nil, newServiceError(validationError, err.Error())
	}
	key, err := input.Key.rowKey()
	if err != nil {
		return nil, newServiceError(validationError, err.Error())
	}
	pla.reads.Add(1)
	pla.mutex.Lock()
	defer pla.mutex.Unlock()
	present, found := pla.table.items[key]
	if !found {
		return struct{}{}, nil
	}
	return struct{ Item attributes }{newAttributes(key, present)}, nil
}

func (pla *Platform) query(body []byte) (any, *serviceError) {
	var input struct {
		KeyConditionExpression    string
		ExpressionAttributeNames  map[string]string
		ExpressionAttributeValues attributes
		ExclusiveStartKey         attributes
	}
	if err := json.Unmarshal(body, &input); err != nil {
		return nil, newServiceError(validationError, err.Error())
	}
	exp := expressions{names: input.ExpressionAttributeNames, values: input.ExpressionAttributeValues}
	collection, err := exp.partition(input.KeyConditionExpression)
	if err != nil {
		return nil, newServiceError(validationError, err.Error())
	}
	after := ""
	if input.ExclusiveStartKey != nil {
		start, err := input.ExclusiveStartKey.rowKey()
		if err != nil {
			return nil, newServiceError(validationError, err.Error())
		}
		after = start.name
	}
	pla.reads.Add(1)
	return pla.queryPage(collection, after), nil
}

func (pla *Platform) queryPage(collection, after string) any {
	pla.mutex.Lock()
	defer pla.mutex.Unlock()
	var out struct {
		Items            []attributes
		Count            int
		LastEvaluatedKey attributes `json:",omitempty"`
	}
	keys, more := pla.table.page(collection, after)
	for _, key := range keys {
		out.Items = append(out.Items, newAttributes(key, pla.table.items[key]))
	}
	out.Count = len(keys)
	if more {
		last := keys[len(keys)-1]
		out.LastEvaluatedKey = attributes{"collection": {S: &last.collection}, "name": {S: &last.name}}
	}
	return out
}

func (pla *Platform) transact(body []byte) (any, *serviceError) {
	var input struct {
		ClientRequestToken string
		TransactItems      []transactItem
	}
	if err := json.Unmarshal(body, &input); err != nil {
		return nil, newServiceError(validationError, err.Error())
	}
	actions, err := decodeActions(input.TransactItems)
	if err != nil {
		return nil, newServiceError(validationError, err.Error())
	}
	request, err := json.Marshal(input)
	if err != nil {
		return nil, newServiceError(validationError, err.Error())
	}
	pla.writes.Add(1)
	pla.mutex.Lock()
	defer pla.mutex.Unlock()
	same, other := pla.table.tokenUsed(input.ClientRequestToken, request)
	if same {
		return struct{}{}, nil
	}
	if other {
		return nil, newServiceError(mismatchError, "the token was used for another request")
	}
	failed, applied := pla.table.apply(input.ClientRequestToken, request, actions)
	if !applied {
		return nil, newCancelled(failed)
	}
	return struct{}{}, nil
}

func decodeActions(items []transactItem) ([]action, error) {
	if len(items) == 0 || len(items) > actionsLimit {
		return nil, eris.Errorf("a transaction has 1 to %d actions", actionsLimit)
	}
	var actions []action
	seen := map[rowKey]bool{}
	for _, ite := range items {
		act, err := ite.action()
		if err != nil {
			return nil, err
		}
		if seen[act.key] {
			return nil, eris.Errorf("two actions on %s/%s", act.key.collection, act.key.name)
		}
		seen[act.key] = true
		actions = append(actions, act)
	}
	return actions, nil
}

func newCancelled(failed []bool) *serviceError {
	fault := newServiceError(cancelledError, "Transaction cancelled")
	for _, isFailed := range failed {
		reason := cancellationReason{Code: "None"}
		if isFailed {
			reason = cancellationReason{Code: "ConditionalCheckFailed", Message: "The conditional request failed"}
		}
		fault.Reasons = append(fault.Reasons, reason)
	}
	return fault
}

func newServiceError(name, message string) *serviceError {
	return &serviceError{Type: errorPrefix + name, Message: message}
}

func writeTableAnswer(wri http.ResponseWriter, out any, fault *serviceError) {
	if fault != nil {
		writeJSON(wri, http.StatusBadRequest, fault)
		return
	}
	writeJSON(wri, http.StatusOK, out)
}
