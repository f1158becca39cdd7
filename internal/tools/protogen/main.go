// Command protogen compiles one of the project's .proto files and runs the Go
// plugins on it, so that protoc need not be installed.
package main

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/bufbuild/protocompile"
	"github.com/bufbuild/protocompile/linker"
	"github.com/bufbuild/protocompile/protoutil"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/descriptorpb"
	"google.golang.org/protobuf/types/pluginpb"
)

// plugins are the code generators, which run as tools of the go command.
var plugins = []string{"protoc-gen-go", "protoc-gen-twirp"}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: protogen FILE.proto OUTPUT-FOLDER")
		os.Exit(2)
	}
	if err := run(os.Args[1], os.Args[2]); err != nil {
		fmt.Fprintln(os.Stderr, "protogen:", err)
		os.Exit(1)
	}
}

// run compiles the file and writes each plugin's output to the folder.
func run(file, folder string) error {
	compiler := protocompile.Compiler{
		Resolver:       &protocompile.SourceResolver{ImportPaths: []string{filepath.Dir(file)}},
		SourceInfoMode: protocompile.SourceInfoStandard,
	}
	name := filepath.Base(file)
	files, err := compiler.Compile(context.Background(), name)
	if err != nil {
		return err
	}
	for _, plugin := range plugins {
		if err := generate(plugin, name, files, folder); err != nil {
			return fmt.Errorf("%s: %w", plugin, err)
		}
	}
	return nil
}

// generate runs one plugin on the compiled files and writes its output.
func generate(plugin, name string, files linker.Files, folder string) error {
	request := &pluginpb.CodeGeneratorRequest{
		FileToGenerate: []string{name},
		Parameter:      proto.String("paths=source_relative"),
		ProtoFile:      descriptors(files),
	}
	input, err := proto.Marshal(request)
	if err != nil {
		return err
	}
	command := exec.Command("go", "tool", plugin)
	command.Stdin = bytes.NewReader(input)
	command.Stderr = os.Stderr
	output, err := command.Output()
	if err != nil {
		return err
	}
	var response pluginpb.CodeGeneratorResponse
	if err := proto.Unmarshal(output, &response); err != nil {
		return err
	}
	if response.GetError() != "" {
		return fmt.Errorf("%s", response.GetError())
	}
	return write(response.GetFile(), folder)
}

func descriptors(files linker.Files) []*descriptorpb.FileDescriptorProto {
	var protos []*descriptorpb.FileDescriptorProto
	for _, file := range files {
		protos = append(protos, protoutil.ProtoFromFileDescriptor(file))
	}
	return protos
}

func write(files []*pluginpb.CodeGeneratorResponse_File, folder string) error {
	for _, file := range files {
		path := filepath.Join(folder, file.GetName())
		if err := os.WriteFile(path, []byte(file.GetContent()), 0o644); err != nil {
			return err
		}
	}
	return nil
}
