package tableservice

import (
	"context"
	"errors"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/google/uuid"
	"github.com/rotisserie/eris"

	"flamingoreach/core/row"
	"flamingoreach/core/rowwrite"
	"flamingoreach/io/platformlink"
)

// signingRegion is part of each request's signature; the platform's address does not depend on it.
const signingRegion = "platform"

// Client reads and writes the rows of one table.
type Client struct {
	table string
	link  *platformlink.Link
	api   *dynamodb.Client
}

// New returns a client of the table at the address; the timeout bounds each request.
func New(address netip.AddrPort, table string, accessKeyID, secretAccessKey string, timeout time.Duration) *Client {
	lin := platformlink.New(address, "tableService", timeout)
	api := dynamodb.New(dynamodb.Options{
		BaseEndpoint:          aws.String("http://" + address.String()),
		Region:                signingRegion,
		Credentials:           credentials.NewStaticCredentialsProvider(accessKeyID, secretAccessKey, ""),
		HTTPClient:            lin.HTTP,
		Retryer:               aws.NopRetryer{},
		AccountIDEndpointMode: aws.AccountIDEndpointModeDisabled,
		EndpointDiscovery: dynamodb.EndpointDiscoveryOptions{
			EnableEndpointDiscovery: aws.EndpointDiscoveryDisabled,
		},
	})
	return &Client{table: table, link: lin, api: api}
}

// Read returns the row as of the last completed write; it fails with row.ErrNotFound if there is none.
func (cli *Client) Read(ctx context.Context, key string) (row.Row, error) {
	id, err := primaryKey(key)
	if err != nil {
		return row.Row{}, err
	}
	var found row.Row
	err = cli.link.Read(ctx, "read row "+key, func(ctx context.Context) error {
		out, err := cli.api.GetItem(ctx, &dynamodb.GetItemInput{
			TableName: &cli.table, Key: id, ConsistentRead: aws.Bool(true),
		})
		if err != nil {
			return err
		}
		if len(out.Item) == 0 {
			return row.ErrNotFound
		}
		found, err = decodeRow(out.Item)
		return err
	})
	return found, err
}

// List returns all rows of a collection in the order of their names; it fails as a whole if any page does.
func (cli *Client) List(ctx context.Context, collection string) ([]row.Row, error) {
	pages := dynamodb.NewQueryPaginator(cli.api, &dynamodb.QueryInput{
		TableName:                 &cli.table,
		ConsistentRead:            aws.Bool(true),
		KeyConditionExpression:    aws.String("#collection = :collection"),
		ExpressionAttributeNames:  map[string]string{"#collection": collectionAttribute},
		ExpressionAttributeValues: map[string]types.AttributeValue{":collection": text(collection)},
	})
	var rows []row.Row
	for pages.HasMorePages() {
		err := cli.link.Read(ctx, "list rows of "+collection, func(ctx context.Context) error {
			page, err := pages.NextPage(ctx)
			if err != nil {
				return err
			}
			for _, item := range page.Items {
				found, err := decodeRow(item)
				if err != nil {
					return err
				}
				rows = append(rows, found)
			}
			return nil
		})
		if err != nil {
			return nil, err
		}
	}
	return rows, nil
}

// Transact applies all writes or none; a retry with the same token within ten minutes has no second effect.
// It fails with row.ErrConflict if this request was certainly not applied; after any other error the effect is unknown.
func (cli *Client) Transact(ctx context.Context, token uuid.UUID, writes []rowwrite.Write) error {
	items := make([]types.TransactWriteItem, 0, len(writes))
	for _, wri := range writes {
		item, err := encodeWrite(cli.table, wri)
		if err != nil {
			return err
		}
		items = append(items, item)
	}
	return cli.link.Write(ctx, "transact "+token.String(), func(ctx context.Context) error {
		_, err := cli.api.TransactWriteItems(ctx, &dynamodb.TransactWriteItemsInput{
			ClientRequestToken: aws.String(token.String()),
			TransactItems:      items,
		})
		return classify(err)
	})
}

// Metrics returns the counters of reads, writes and failures.
func (cli *Client) Metrics() *metrics.Set { return cli.link.Metrics() }

// Close refuses new requests, waits for those that run, and closes all connections.
func (cli *Client) Close() { cli.link.Close() }

func classify(err error) error {
	var cancelled *types.TransactionCanceledException
	if errors.As(err, &cancelled) {
		return eris.Wrap(row.ErrConflict, cancelled.ErrorMessage())
	}
	return err
}
