package doccheck

import (
	"context"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"

	"github.com/urfave/cli/v3"
)

// Command returns the command that runs the check.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "doc-check",
		Usage: "fail when an exported name or a package of this tree has no doc comment",
		Action: func(_ context.Context, c *cli.Command) error {
			problems, err := Find(".")
			if err != nil {
				return err
			}
			for _, problem := range problems {
				_, _ = fmt.Fprintln(c.Root().Writer, problem)
			}
			if len(problems) > 0 {
				return cli.Exit(fmt.Sprintf("%d names without a doc comment", len(problems)), 1)
			}
			return nil
		},
	}
}

// Find returns a line for each exported name and each package below a folder that has no doc comment.
func Find(root string) ([]string, error) {
	var problems []string
	documented, seen := map[string]bool{}, map[string]bool{}
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files := token.NewFileSet()
		file, err := parser.ParseFile(files, path, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		seen[filepath.Dir(path)] = true
		if filepath.Base(path) == "doc.go" && file.Doc != nil {
			documented[filepath.Dir(path)] = true
		}
		if !ast.IsGenerated(file) {
			problems = append(problems, undocumented(files, file)...)
		}
		return nil
	})
	for folder := range seen {
		if !documented[folder] {
			problems = append(problems, folder+": no doc.go with a package comment")
		}
	}
	return problems, err
}

func undocumented(files *token.FileSet, file *ast.File) []string {
	var problems []string
	report := func(name *ast.Ident) {
		problems = append(problems, fmt.Sprintf("%s: %s has no doc comment", files.Position(name.Pos()), name.Name))
	}
	for _, declaration := range file.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			if d.Name.IsExported() && d.Doc == nil {
				report(d.Name)
			}
		case *ast.GenDecl:
			for _, name := range undocumentedNames(d) {
				report(name)
			}
		}
	}
	return problems
}

// undocumentedNames returns the exported names of a declaration that have no comment; a comment on the whole
// declaration covers all of its names.
func undocumentedNames(d *ast.GenDecl) []*ast.Ident {
	var names []*ast.Ident
	if d.Doc != nil {
		return nil
	}
	for _, spec := range d.Specs {
		switch s := spec.(type) {
		case *ast.TypeSpec:
			if s.Name.IsExported() && s.Doc == nil {
				names = append(names, s.Name)
			}
		case *ast.ValueSpec:
			for _, name := range s.Names {
				if name.IsExported() && s.Doc == nil && s.Comment == nil {
					names = append(names, name)
				}
			}
		}
	}
	return names
}
