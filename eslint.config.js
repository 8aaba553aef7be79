/** ESLint configuration. `LINT_FULL=NAME npx eslint packages/NAME` checks a package with the full rule set. */
import { defineConfig } from 'eslint/config';
import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';
import { noImportCycles } from './tools/eslint-rules/no-import-cycles.js';
import { requireModuleComment } from './tools/eslint-rules/require-module-comment.js';

/** Packages that comply with the full rule set. A package is added once it complies; the goal is to list all packages. */
const FULL_SET_PACKAGES = [
  'api',
  'cli',
  'cloud',
  'daemon',
  'fleet',
  'operations',
  'pricing',
  'recovery',
  'roles',
  'scheduling',
  'settings',
  'store',
  'workers',
];

/** Packages that are checked with the full rule set in this run only; from the environment variable `LINT_FULL`. */
const CHECKED_IN_FULL = (process.env.LINT_FULL ?? '').split(',').filter((name) => name !== '');

/** Packages with known import cycles; the cycle rule applies to them only with the full rule set. */
const CYCLIC_PACKAGES = [];

/** Rules that apply only to packages with the full rule set. All other rules apply everywhere. */
const PENDING_RULES = [
  '@typescript-eslint/consistent-type-definitions',
  '@typescript-eslint/no-base-to-string',
  '@typescript-eslint/no-confusing-void-expression',
  '@typescript-eslint/no-deprecated',
  '@typescript-eslint/no-unnecessary-condition',
  '@typescript-eslint/no-unnecessary-type-assertion',
  '@typescript-eslint/no-unnecessary-type-conversion',
  '@typescript-eslint/no-unsafe-argument',
  '@typescript-eslint/no-unsafe-assignment',
  '@typescript-eslint/no-unsafe-call',
  '@typescript-eslint/no-unsafe-member-access',
  '@typescript-eslint/no-unsafe-return',
  '@typescript-eslint/non-nullable-type-assertion-style',
  '@typescript-eslint/prefer-includes',
  '@typescript-eslint/prefer-nullish-coalescing',
  '@typescript-eslint/prefer-optional-chain',
  '@typescript-eslint/restrict-template-expressions',
];

/** Other packages that each package may import. Tests and the testkit may import all packages. */
const DEPENDENCIES = {
  wire: [],
  api: ['wire'],
  cloud: ['wire'],
  pricing: ['wire'],
  settings: ['wire'],
  store: ['wire'],
  roles: ['cloud', 'store', 'wire'],
  cluster: ['roles', 'store', 'wire'],
  recovery: ['cluster', 'store', 'wire'],
  operations: ['roles', 'recovery', 'wire'],
  workers: ['cluster', 'wire'],
  fleet: ['cloud', 'cluster', 'roles', 'pricing', 'wire'],
  scheduling: ['cluster', 'fleet', 'pricing', 'settings', 'wire', 'workers'],
  cli: ['daemon', 'roles', 'operations', 'recovery', 'settings', 'wire'],
  daemon: [
    'api',
    'cloud',
    'cluster',
    'roles',
    'fleet',
    'operations',
    'pricing',
    'recovery',
    'scheduling',
    'settings',
    'store',
    'wire',
    'workers',
  ],
};

/**
 * Files that may use the unfenced clients, which do not check the term of a role: the fenced clients themselves, and code
 * that acts for no role.
 */
const UNFENCED_CLOUD = ['packages/roles/fenced-cloud.ts', 'packages/daemon/controller.ts'];
const UNFENCED_STORE = [
  'packages/roles/fenced-store.ts',
  // Writes the node's own membership record and campaigns for leadership.
  'packages/cluster/membership.ts',
  // Reads only.
  'packages/cluster/replica.ts',
  // Writes users' jobs, with compare-and-swap on the keys of the jobs.
  'packages/daemon/job-service.ts',
  'packages/daemon/controller.ts',
];

const DEPENDENCY_MESSAGE = 'this package may not import that package: see DEPENDENCIES in eslint.config.js';
const FENCING_MESSAGE = 'use the fenced client of #roles with a term proof instead of the unfenced client';

/** Forbids imports in the files of a package: packages outside its dependencies, unfenced clients and term proofs. */
function restrictedImports(name, files, ignores, clients) {
  const allowed = [name, ...DEPENDENCIES[name]];
  const others = [...Object.keys(DEPENDENCIES), 'testkit'].filter((other) => !allowed.includes(other));
  const paths = [
    ...others.map((other) => ({ name: `#${other}`, message: DEPENDENCY_MESSAGE })),
    ...clients.map(([from, importName]) => ({
      name: from,
      importNames: [importName],
      message: FENCING_MESSAGE,
    })),
  ];
  const proofs = { group: ['**/term-proof.js'], message: 'only the RoleRegistry may issue term proofs' };
  const patterns = name === 'roles' ? [] : [proofs];
  return { files, ignores, rules: { 'no-restricted-imports': ['error', { paths, patterns }] } };
}

/** Returns the import restrictions of a package: one part for its files, and one for each file with exemptions. */
function importBoundariesOf(name) {
  const files = [`packages/${name}/**/*.ts`];
  const tests = ['**/*.test.ts'];
  const cloud = ['#cloud', 'CloudClient'];
  const store = ['#store', 'StoreClient'];
  const inPackage = (paths) => paths.filter((path) => path.startsWith(`packages/${name}/`));
  const exempt = [...new Set([...inPackage(UNFENCED_CLOUD), ...inPackage(UNFENCED_STORE)])];
  return [
    restrictedImports(name, files, [...tests, ...exempt], [cloud, store]),
    ...exempt.map((path) => {
      const clients = [
        ...(UNFENCED_CLOUD.includes(path) ? [] : [cloud]),
        ...(UNFENCED_STORE.includes(path) ? [] : [store]),
      ];
      return restrictedImports(name, [path], [], clients);
    }),
  ];
}

const SPREAD_MESSAGE = 'write out the fields or elements instead of spreading a literal';

/** Limits on the shape of code that sources and tests share. */
const SHAPE_RULES = {
  '@typescript-eslint/max-params': ['error', { max: 3 }],
  'no-restricted-syntax': [
    'error',
    { selector: 'SpreadElement > ObjectExpression.argument', message: SPREAD_MESSAGE },
    { selector: 'SpreadElement > ArrayExpression.argument', message: SPREAD_MESSAGE },
    { selector: 'SpreadElement > TSAsExpression.argument > ArrayExpression', message: SPREAD_MESSAGE },
  ],
};

const DOC_COMMENT_RULES = {
  'local/require-module-comment': 'error',
  'jsdoc/require-jsdoc': [
    'error',
    {
      publicOnly: { ancestorsOnly: true, esm: true, cjs: false, window: false },
      require: { ClassDeclaration: true, FunctionDeclaration: true },
      contexts: [
        'TSInterfaceDeclaration',
        'TSTypeAliasDeclaration',
        'TSEnumDeclaration',
        'ExportNamedDeclaration > VariableDeclaration',
      ],
      enableFixer: false,
    },
  ],
  'jsdoc/require-description': 'error',
  'jsdoc/check-alignment': 'error',
  'jsdoc/check-param-names': 'error',
  'jsdoc/check-tag-names': ['error', { typed: true }],
  'jsdoc/no-types': 'error',
};

/** The full rule set for sources. */
const FULL_SOURCE_RULES = {
  ...SHAPE_RULES,
  ...DOC_COMMENT_RULES,
  'max-lines': ['error', { max: 300 }],
  'max-lines-per-function': ['error', { max: 30 }],
};

/** The full rule set for tests. A test may be longer than a function, and its title stands in for doc comments. */
const FULL_TEST_RULES = { ...SHAPE_RULES, 'max-lines': ['error', { max: 500 }] };

const ALL_PACKAGES = [...Object.keys(DEPENDENCIES), 'testkit'];
const fullPackages = [...FULL_SET_PACKAGES, ...CHECKED_IN_FULL];
const otherPackages = ALL_PACKAGES.filter((name) => !fullPackages.includes(name));
const acyclicPackages = ALL_PACKAGES.filter(
  (name) => fullPackages.includes(name) || !CYCLIC_PACKAGES.includes(name),
);
const filesOf = (names) => names.map((name) => `packages/${name}/**/*.ts`);
const testsOf = (names) => names.map((name) => `packages/${name}/**/*.test.ts`);

/** Returns a list with the configuration part for the given files; empty without files, since ESLint rejects such a part. */
const configFor = (files, part) => (files.length === 0 ? [] : [{ files, ...part }]);

export default defineConfig(
  { ignores: ['target/', 'node_modules/', 'packages/testkit/fixtures/'] },
  tseslint.configs.strictTypeChecked,
  tseslint.configs.stylisticTypeChecked,
  {
    languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
    linterOptions: { reportUnusedDisableDirectives: 'error' },
    plugins: {
      jsdoc,
      local: {
        rules: { 'no-import-cycles': noImportCycles, 'require-module-comment': requireModuleComment },
      },
    },
    rules: {
      eqeqeq: 'error',
      'no-useless-rename': 'error',
      'object-shorthand': 'error',
      '@typescript-eslint/no-shadow': 'error',
      // With `noUncheckedIndexedAccess` an index that is known to be in range has to be asserted.
      '@typescript-eslint/no-non-null-assertion': 'off',
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        { allowNumber: true, allowBoolean: true },
      ],
      // Bracket notation marks fields that come from external data and may be missing.
      '@typescript-eslint/dot-notation': ['error', { allowIndexSignaturePropertyAccess: true }],
      // The test runner of node:test awaits the promises of these functions.
      '@typescript-eslint/no-floating-promises': [
        'error',
        {
          allowForKnownSafeCalls: [
            { from: 'package', package: 'node:test', name: ['test', 'it', 'describe'] },
          ],
        },
      ],
    },
  },
  { files: ['**/*.js'], extends: [tseslint.configs.disableTypeChecked] },
  configFor(filesOf(acyclicPackages), { rules: { 'local/no-import-cycles': 'error' } }),
  configFor(filesOf(otherPackages), {
    rules: Object.fromEntries(PENDING_RULES.map((rule) => [rule, 'off'])),
  }),
  configFor(filesOf(fullPackages), { ignores: ['**/*.test.ts'], rules: FULL_SOURCE_RULES }),
  configFor(testsOf(fullPackages), { rules: FULL_TEST_RULES }),
  Object.keys(DEPENDENCIES).flatMap(importBoundariesOf),
);
