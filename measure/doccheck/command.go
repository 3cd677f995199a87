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

// Command returns the check.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "doc-check",
		Usage: "fail when an exported name or a package of this tree has no doc comment",
		Action: func(_ context.Context, c *cli.Command) error {
			missing, err := Find(".")
			if err != nil {
				return err
			}
			for _, place := range missing {
				_, _ = fmt.Fprintln(c.Root().Writer, place)
			}
			if len(missing) > 0 {
				return cli.Exit(fmt.Sprintf("%d names without a doc comment", len(missing)), 1)
			}
			return nil
		},
	}
}

// Find returns the places below the folder that lack a doc comment.
func Find(root string) ([]string, error) {
	var missing []string
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
			missing = append(missing, undocumented(files, file)...)
		}
		return nil
	})
	for folder := range seen {
		if !documented[folder] {
			missing = append(missing, folder+": no doc.go with a package comment")
		}
	}
	return missing, err
}

func undocumented(files *token.FileSet, file *ast.File) []string {
	var missing []string
	report := func(name *ast.Ident) {
		missing = append(missing, fmt.Sprintf("%s: %s has no doc comment", files.Position(name.Pos()), name.Name))
	}
	for _, declaration := range file.Decls {
		switch d := declaration.(type) {
		case *ast.FuncDecl:
			if d.Name.IsExported() && d.Doc == nil {
				report(d.Name)
			}
		case *ast.GenDecl:
			for _, name := range exportedNames(d) {
				report(name)
			}
		}
	}
	return missing
}

// exportedNames returns the exported names of a declaration that no comment covers.
func exportedNames(d *ast.GenDecl) []*ast.Ident {
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
