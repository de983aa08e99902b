package state

import (
	"io"

	pb "eelgrasshollow/gen/eelgrass/v1"
	"eelgrasshollow/internal/errkind"

	"google.golang.org/protobuf/proto"
)

// Formats of images. Format 1 has no record of deletions.
const (
	firstImageFormat = 1
	// ImageFormat is what this program writes.
	ImageFormat = 2
)

func writeImage(w io.Writer, img *pb.StateImage) error {
	b, err := proto.Marshal(img)
	if err != nil {
		return err
	}
	_, err = w.Write(b)
	return err
}

// readImage reads every format up to ImageFormat and refuses others.
func readImage(r io.Reader) (*pb.StateImage, error) {
	b, err := io.ReadAll(r)
	if err != nil {
		return nil, err
	}
	var img pb.StateImage
	if err := proto.Unmarshal(b, &img); err != nil {
		return nil, errkind.Wrap(err, errkind.Corrupt, "image does not decode")
	}
	switch f := img.GetFormat(); {
	case f < firstImageFormat || f > ImageFormat:
		return nil, errkind.New(errkind.Unsupported, "image has format %d, this program reads %d to %d", f, firstImageFormat, ImageFormat)
	case f == firstImageFormat:
		// Watchers behind the image must take the whole configuration.
		img.DeletionsFloor = img.GetConfiguration().GetRevision()
	}
	return &img, nil
}

// EncodeBackup makes a backup of a configuration.
func EncodeBackup(c *pb.Configuration) ([]byte, error) {
	return proto.Marshal(&pb.StateImage{Format: ImageFormat, Configuration: c})
}

// DecodeBackup reads a backup.
func DecodeBackup(image []byte) (*pb.Configuration, error) {
	var img pb.StateImage
	if err := proto.Unmarshal(image, &img); err != nil || img.GetConfiguration() == nil {
		return nil, errkind.New(errkind.Corrupt, "backup does not decode")
	}
	if f := img.GetFormat(); f < firstImageFormat || f > ImageFormat {
		return nil, errkind.New(errkind.Unsupported, "backup has format %d, this program reads %d to %d", f, firstImageFormat, ImageFormat)
	}
	return img.GetConfiguration(), nil
}
