/** Lint rule against import cycles. It needs type information, because it works on the imports of the whole program. */
import { relative } from 'node:path';
import { findCycle, importGraph } from './import-graph.js';

/** Import graphs, cached because ESLint runs a rule once for each file. Keyed by program. */
const graphs = new WeakMap();

function graphOf(program) {
  let graph = graphs.get(program);
  if (graph === undefined) {
    graph = importGraph(program);
    graphs.set(program, graph);
  }
  return graph;
}

/** Reports each import or re-export that is part of an import cycle. */
export const noImportCycles = {
  meta: {
    type: 'problem',
    docs: { description: 'Disallow import cycles, those made of type imports included' },
    messages: { cycle: 'import cycle: {{path}}' },
    schema: [],
  },
  create(context) {
    const { cwd, filename, sourceCode } = context;
    const graph = graphOf(sourceCode.parserServices.program);
    const checkImport = (node) => {
      const target = graph.get(filename)?.get(node.source?.value);
      const cycle = target === undefined ? undefined : findCycle(graph, filename, target);
      if (cycle === undefined) return;
      const path = cycle.map((file) => relative(cwd, file)).join(' -> ');
      context.report({ node, messageId: 'cycle', data: { path } });
    };
    return {
      ImportDeclaration: checkImport,
      ExportNamedDeclaration: checkImport,
      ExportAllDeclaration: checkImport,
    };
  },
};
