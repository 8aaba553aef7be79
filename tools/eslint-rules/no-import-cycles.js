/** Lint rule: no module may import another one that leads back to it. Needs type information for the program. */
import { relative } from 'node:path';
import { findCycle, importGraph } from './import-graph.js';

/** Graphs by program: ESLint runs a rule once for each file. */
const graphs = new WeakMap();

function graphOf(program) {
  let graph = graphs.get(program);
  if (graph === undefined) {
    graph = importGraph(program);
    graphs.set(program, graph);
  }
  return graph;
}

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
    const check = (node) => {
      const target = graph.get(filename)?.get(node.source?.value);
      const cycle = target === undefined ? undefined : findCycle(graph, filename, target);
      if (cycle === undefined) return;
      const path = cycle.map((file) => relative(cwd, file)).join(' -> ');
      context.report({ node, messageId: 'cycle', data: { path } });
    };
    return { ImportDeclaration: check, ExportNamedDeclaration: check, ExportAllDeclaration: check };
  },
};
