/** The graph of module imports within a TypeScript program, and the cycles in it. */
import ts from 'typescript';

/**
 * What a source file imports or exports from: by specifier as written, the path of the source file that it leads to.
 *
 * @typedef {ReadonlyMap<string, string>} Imports
 */

/**
 * Maps the path of each source file of the program to its imports. Type imports count: a reader has to follow them,
 * too. Subpath imports (`#cluster`) resolve to sources; installed packages are left out.
 *
 * @param {ts.Program} program
 * @returns {Map<string, Imports>}
 */
export function importGraph(program) {
  const options = program.getCompilerOptions();
  const cache = ts.createModuleResolutionCache(program.getCurrentDirectory(), (name) => name, options);
  const sources = program.getSourceFiles().filter((file) => !file.isDeclarationFile);
  return new Map(sources.map((file) => [file.fileName, importsOf(file, { options, cache })]));
}

function importsOf(file, resolution) {
  const imports = new Map();
  for (const { moduleSpecifier } of file.statements) {
    if (moduleSpecifier === undefined || !ts.isStringLiteral(moduleSpecifier)) continue;
    const target = resolve(moduleSpecifier.text, file.fileName, resolution);
    if (target !== undefined) imports.set(moduleSpecifier.text, target);
  }
  return imports;
}

function resolve(specifier, importer, { options, cache }) {
  const mode = ts.ModuleKind.ESNext;
  const result = ts.resolveModuleName(specifier, importer, options, ts.sys, cache, undefined, mode);
  const resolved = result.resolvedModule;
  return resolved === undefined || resolved.isExternalLibraryImport ? undefined : resolved.resolvedFileName;
}

/**
 * The shortest cycle that begins with the import of `target` by `importer`, as the paths of its files, the importer
 * first and last; undefined if nothing that `target` imports leads back.
 *
 * @param {ReadonlyMap<string, Imports>} graph
 * @param {string} importer
 * @param {string} target
 * @returns {string[] | undefined}
 */
export function findCycle(graph, importer, target) {
  const reachedFrom = new Map([[target, importer]]);
  for (const file of reachedFrom.keys()) {
    if (file === importer) return [importer, ...pathTo(importer, reachedFrom)];
    for (const next of graph.get(file)?.values() ?? []) {
      if (!reachedFrom.has(next)) reachedFrom.set(next, file);
    }
  }
  return undefined;
}

function pathTo(importer, reachedFrom) {
  const path = [importer];
  for (let file = reachedFrom.get(importer); file !== importer; file = reachedFrom.get(file)) {
    path.unshift(file);
  }
  return path;
}
