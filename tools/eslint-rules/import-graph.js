/** Import graph of a TypeScript program, and the search for import cycles in it. */
import ts from 'typescript';

/**
 * Paths of the source files that a source file imports or re-exports from. Keyed by module specifier as written.
 *
 * @typedef {ReadonlyMap<string, string>} Imports
 */

/**
 * Returns the imports of each source file of the program, keyed by its path. Type imports count, because a reader has
 * to follow them, too. Subpath imports (`#cluster`) resolve to sources; installed packages are left out.
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

/** Returns the path of the source file that a specifier resolves to; undefined for an installed or unknown package. */
function resolve(specifier, importer, { options, cache }) {
  const mode = ts.ModuleKind.ESNext;
  const result = ts.resolveModuleName(specifier, importer, options, ts.sys, cache, undefined, mode);
  const resolved = result.resolvedModule;
  return resolved === undefined || resolved.isExternalLibraryImport ? undefined : resolved.resolvedFileName;
}

/**
 * Returns the shortest cycle that begins with the import of `target` by `importer`, as the paths of its files, the
 * importer first and last. Returns undefined if no chain of imports leads from `target` back to `importer`.
 *
 * @param {ReadonlyMap<string, Imports>} graph
 * @param {string} importer
 * @param {string} target
 * @returns {string[] | undefined}
 */
export function findCycle(graph, importer, target) {
  // Breadth-first search. Each reached file maps to the file that it was reached from; the loop also visits added keys.
  const reachedFrom = new Map([[target, importer]]);
  for (const file of reachedFrom.keys()) {
    if (file === importer) return [importer, ...pathTo(importer, reachedFrom)];
    for (const next of graph.get(file)?.values() ?? []) {
      if (!reachedFrom.has(next)) reachedFrom.set(next, file);
    }
  }
  return undefined;
}

/** Returns the path to `importer`, from the target on, by following the entries of `reachedFrom` backwards. */
function pathTo(importer, reachedFrom) {
  const path = [importer];
  for (let file = reachedFrom.get(importer); file !== importer; file = reachedFrom.get(file)) {
    path.unshift(file);
  }
  return path;
}
