import assert from 'node:assert/strict';
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { dirname, join, relative } from 'node:path';
import { test } from 'node:test';
import { Linter, type Rule } from 'eslint';
import ts from 'typescript';

type Graph = ReadonlyMap<string, ReadonlyMap<string, string>>;

interface ImportGraphModule {
  importGraph: (program: ts.Program) => Graph;
  findCycle: (graph: Graph, importer: string, target: string) => string[] | undefined;
}

interface ModuleCommentModule {
  requireModuleComment: Rule.RuleModule;
}

/** Directory of the lint rules. They are plain JavaScript, which ESLint loads directly, and are not compiled. */
const RULES = new URL('../../tools/eslint-rules/', import.meta.url);
const { findCycle, importGraph } = (await import(`${RULES.href}import-graph.js`)) as ImportGraphModule;
const { requireModuleComment } = (await import(
  `${RULES.href}require-module-comment.js`
)) as ModuleCommentModule;

const PACKAGE_JSON = JSON.stringify({
  type: 'module',
  imports: { '#one': './target/one/index.js', '#two': './target/two/index.js' },
});

/** Returns the cycles that start with an import of one of the files, sorted; each is a line of file paths. */
function cyclesIn(files: Readonly<Record<string, string>>): string[] {
  const root = mkdtempSync(join(tmpdir(), 'lint-rules-'));
  try {
    writeFileSync(join(root, 'package.json'), PACKAGE_JSON);
    const paths = Object.entries(files).map(([name, text]) => {
      const path = join(root, 'packages', name);
      mkdirSync(dirname(path), { recursive: true });
      writeFileSync(path, text);
      return path;
    });
    const program = ts.createProgram(paths, {
      module: ts.ModuleKind.NodeNext,
      moduleResolution: ts.ModuleResolutionKind.NodeNext,
      rootDir: join(root, 'packages'),
      outDir: join(root, 'target'),
      types: [],
    });
    const graph = importGraph(program);
    const cycles = [...graph].flatMap(([importer, imports]) =>
      [...imports.values()].map((target) => findCycle(graph, importer, target) ?? []),
    );
    const inPackages = (path: string): string => relative(join(root, 'packages'), path);
    return cycles
      .filter((cycle) => cycle.length > 0)
      .map((cycle) => cycle.map(inPackages).join(' '))
      .sort();
  } finally {
    rmSync(root, { recursive: true });
  }
}

test('an import cycle is found from each of its imports, even if it has three files or consists of type imports', () => {
  const cycles = cyclesIn({
    'one/a.ts': `import type { B } from './b.js';\nexport type A = B;`,
    'one/b.ts': `export * from './c.js';\nexport type B = number;`,
    'one/c.ts': `import { type A } from './a.js';\nexport type C = A;`,
  });
  assert.deepEqual(cycles, [
    'one/a.ts one/b.ts one/c.ts one/a.ts',
    'one/b.ts one/c.ts one/a.ts one/b.ts',
    'one/c.ts one/a.ts one/b.ts one/c.ts',
  ]);
});

test('an import cycle through the subpath imports of two packages is found', () => {
  const cycles = cyclesIn({
    'one/index.ts': `import type { Two } from '#two';\nexport type One = Two | string;`,
    'two/index.ts': `import type { One } from '#one';\nexport type Two = One | number;`,
  });
  assert.deepEqual(cycles, [
    'one/index.ts two/index.ts one/index.ts',
    'two/index.ts one/index.ts two/index.ts',
  ]);
});

test('modules that share an import, and imports of a module in a cycle, are not reported as cycles', () => {
  const cycles = cyclesIn({
    'one/leaf.ts': `export type Leaf = number;`,
    'one/left.ts': `import type { Leaf } from './leaf.js';\nexport type Left = Leaf;`,
    'one/top.ts': `import type { Left } from './left.js';\nimport type { X } from './x.js';\nexport type T = Left | X;`,
    'one/x.ts': `import type { Y } from './y.js';\nexport type X = Y;`,
    'one/y.ts': `import type { X } from './x.js';\nexport type Y = X;`,
  });
  assert.deepEqual(cycles, ['one/x.ts one/y.ts one/x.ts', 'one/y.ts one/x.ts one/y.ts']);
});

test('only a doc comment that belongs to the module counts as a module comment', () => {
  const linter = new Linter();
  const isAccepted = (code: string): boolean => {
    const plugins = { local: { rules: { 'module-comment': requireModuleComment } } };
    const config: Linter.Config = { plugins, rules: { 'local/module-comment': 'error' } };
    return linter.verify(code, config).length === 0;
  };
  assert.ok(isAccepted(`/** Reads. */\nimport 'a';\n`));
  assert.ok(isAccepted(`#!/usr/bin/env node\n/** Reads. */\nexport * from 'a';\n`));
  assert.ok(isAccepted(`/** Reads. */\n\nexport const a = 1;\n`));
  assert.ok(isAccepted(`/** Reads. */\n\n/** One. */\nexport const a = 1;\n`));
  assert.ok(!isAccepted(`/** One. */\nexport const a = 1;\n`));
  assert.ok(!isAccepted(`// Reads.\nimport 'a';\n`));
  assert.ok(!isAccepted(`import 'a';\n\n/** Reads. */\nexport const a = 1;\n`));
  assert.ok(!isAccepted(`/* Reads. */\nimport 'a';\n`));
  assert.ok(!isAccepted(``));
});
