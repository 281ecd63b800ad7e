package objectstore

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"
	"github.com/rotisserie/eris"

	"flamingoreach/core/row"
	"flamingoreach/io/platformlink"
)

// signingRegion is part of each request's signature; the platform's address does not depend on it.
const signingRegion = "platform"

// ErrTooLarge means that an object exceeds the client's size limit.
var ErrTooLarge = eris.New("object is above the size limit")

// Client reads and writes whole objects of one bucket.
type Client struct {
	bucket    string
	sizeLimit int64
	link      *platformlink.Link
	api       *s3.Client
}

// New returns a client of the bucket at the address; the timeout bounds each request, the limit in bytes each object.
func New(address netip.AddrPort, bucket string, accessKeyID, secretAccessKey string, timeout time.Duration, sizeLimit int64) *Client {
	lin := platformlink.New(address, "objectStore", timeout)
	api := s3.New(s3.Options{
		BaseEndpoint:                   aws.String("http://" + address.String()),
		Region:                         signingRegion,
		Credentials:                    credentials.NewStaticCredentialsProvider(accessKeyID, secretAccessKey, ""),
		HTTPClient:                     lin.HTTP,
		Retryer:                        aws.NopRetryer{},
		UsePathStyle:                   true,
		RequestChecksumCalculation:     aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation:     aws.ResponseChecksumValidationWhenRequired,
		DisableMultiRegionAccessPoints: true,
		DisableS3ExpressSessionAuth:    aws.Bool(true),
	})
	return &Client{bucket: bucket, sizeLimit: sizeLimit, link: lin, api: api}
}

// Put writes a whole object; it fails with ErrTooLarge before sending, and after any other error the effect is unknown.
func (cli *Client) Put(ctx context.Context, name string, body []byte) error {
	if int64(len(body)) > cli.sizeLimit {
		return eris.Wrapf(ErrTooLarge, "put object %s", name)
	}
	return cli.link.Write(ctx, "put object "+name, func(ctx context.Context) error {
		_, err := cli.api.PutObject(ctx, &s3.PutObjectInput{
			Bucket: &cli.bucket, Key: &name, Body: bytes.NewReader(body),
			ContentLength: aws.Int64(int64(len(body))),
		})
		return err
	})
}

// Get returns a whole object; it fails with row.ErrNotFound or ErrTooLarge, and never returns a partial object.
func (cli *Client) Get(ctx context.Context, name string) ([]byte, error) {
	var body []byte
	err := cli.link.Read(ctx, "get object "+name, func(ctx context.Context) error {
		out, err := cli.api.GetObject(ctx, &s3.GetObjectInput{Bucket: &cli.bucket, Key: &name})
		var noKey *types.NoSuchKey
		if errors.As(err, &noKey) {
			return row.ErrNotFound
		}
		if err != nil {
			return err
		}
		body, err = cli.readWhole(out)
		return errors.Join(err, out.Body.Close())
	})
	if err != nil {
		return nil, err
	}
	return body, nil
}

// Exists reports whether there is an object of that name.
func (cli *Client) Exists(ctx context.Context, name string) (bool, error) {
	found := false
	err := cli.link.Read(ctx, "look up object "+name, func(ctx context.Context) error {
		_, err := cli.api.HeadObject(ctx, &s3.HeadObjectInput{Bucket: &cli.bucket, Key: &name})
		found = err == nil
		var absent *types.NotFound
		if errors.As(err, &absent) {
			return nil
		}
		return err
	})
	return found, err
}

// Metrics returns the counters of reads, writes and failures.
func (cli *Client) Metrics() *metrics.Set { return cli.link.Metrics() }

// Close refuses new requests, waits for those that run, and closes all connections.
func (cli *Client) Close() { cli.link.Close() }

func (cli *Client) readWhole(out *s3.GetObjectOutput) ([]byte, error) {
	if out.ContentLength == nil {
		return nil, eris.New("read object: its length is unknown")
	}
	if *out.ContentLength > cli.sizeLimit {
		return nil, ErrTooLarge
	}
	body := make([]byte, *out.ContentLength)
	if _, err := io.ReadFull(out.Body, body); err != nil {
		return nil, eris.Wrap(err, "read object")
	}
	return body, nil
}
