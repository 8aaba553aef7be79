/** What `npm run lint` checks. `LINT_FULL=NAME npx eslint packages/NAME` checks a package by the full set. */
import { defineConfig } from 'eslint/config';
import jsdoc from 'eslint-plugin-jsdoc';
import tseslint from 'typescript-eslint';
import { noImportCycles } from './tools/eslint-rules/no-import-cycles.js';
import { requireModuleComment } from './tools/eslint-rules/require-module-comment.js';

/** Packages that hold to the full set. A package is added when it does; the list ends with all of them. */
const READABLE_PACKAGES = [
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

/** Packages that are checked by the full set in this run only. */
const CHECKED_IN_FULL = (process.env.LINT_FULL ?? '').split(',').filter((name) => name !== '');

/** Packages with import cycles that are yet to be taken apart. */
const CYCLIC_PACKAGES = [];

/** Rules that hold in the packages of the full set only. All others hold everywhere. */
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

/** What each package may import of the others. Tests and the testkit may import all. */
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

/** Who may hold the clients that check no term: the fenced clients themselves, and what belongs to no role. */
const UNFENCED_CLOUD = ['packages/roles/fenced-cloud.ts', 'packages/daemon/controller.ts'];
const UNFENCED_STORE = [
  'packages/roles/fenced-store.ts',
  // The node's own record and its campaign for the lead.
  'packages/cluster/membership.ts',
  // Reads only.
  'packages/cluster/replica.ts',
  // Users' jobs, guarded by their own keys.
  'packages/daemon/job-service.ts',
  'packages/daemon/controller.ts',
];

const BOUNDARY = 'this package may not depend on that one: see DEPENDENCIES in eslint.config.js';
const FENCE = 'act through the fenced client of #roles, under a proof of the term';

/** Imports that the files of a package may not have. */
function restrictedImports(name, files, ignores, clients) {
  const allowed = [name, ...DEPENDENCIES[name]];
  const others = [...Object.keys(DEPENDENCIES), 'testkit'].filter((other) => !allowed.includes(other));
  const paths = [
    ...others.map((other) => ({ name: `#${other}`, message: BOUNDARY })),
    ...clients.map(([from, importName]) => ({ name: from, importNames: [importName], message: FENCE })),
  ];
  const proofs = { group: ['**/term-proof.js'], message: 'proofs are given out by the RoleRegistry only' };
  const patterns = name === 'roles' ? [] : [proofs];
  return { files, ignores, rules: { 'no-restricted-imports': ['error', { paths, patterns }] } };
}

function boundariesOf(name) {
  const files = [`packages/${name}/**/*.ts`];
  const tests = ['**/*.test.ts'];
  const cloud = ['#cloud', 'CloudClient'];
  const store = ['#store', 'StoreClient'];
  const own = (paths) => paths.filter((path) => path.startsWith(`packages/${name}/`));
  const exempt = [...new Set([...own(UNFENCED_CLOUD), ...own(UNFENCED_STORE)])];
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

const FORMATTER_SPREAD = 'write the fields or elements out instead of spreading a literal';

/** Limits of size that sources and tests share. */
const SHAPE = {
  '@typescript-eslint/max-params': ['error', { max: 3 }],
  'no-restricted-syntax': [
    'error',
    { selector: 'SpreadElement > ObjectExpression.argument', message: FORMATTER_SPREAD },
    { selector: 'SpreadElement > ArrayExpression.argument', message: FORMATTER_SPREAD },
    { selector: 'SpreadElement > TSAsExpression.argument > ArrayExpression', message: FORMATTER_SPREAD },
  ],
};

const DOC_COMMENTS = {
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

/** The full set for sources of the packages named. */
const FULL_SOURCES = {
  ...SHAPE,
  ...DOC_COMMENTS,
  'max-lines': ['error', { max: 300 }],
  'max-lines-per-function': ['error', { max: 30 }],
};

/** The full set for their tests: a scenario may be longer than a function, and names tell what it shows. */
const FULL_TESTS = { ...SHAPE, 'max-lines': ['error', { max: 500 }] };

const ALL_PACKAGES = [...Object.keys(DEPENDENCIES), 'testkit'];
const fullPackages = [...READABLE_PACKAGES, ...CHECKED_IN_FULL];
const otherPackages = ALL_PACKAGES.filter((name) => !fullPackages.includes(name));
const acyclicPackages = ALL_PACKAGES.filter(
  (name) => fullPackages.includes(name) || !CYCLIC_PACKAGES.includes(name),
);
const filesOf = (names) => names.map((name) => `packages/${name}/**/*.ts`);
const testsOf = (names) => names.map((name) => `packages/${name}/**/*.test.ts`);

/** A part of the configuration for the files of some packages; ESLint refuses one without files. */
const partFor = (files, part) => (files.length === 0 ? [] : [{ files, ...part }]);

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
      // Brackets show that a field comes from outside and may be missing.
      '@typescript-eslint/dot-notation': ['error', { allowIndexSignaturePropertyAccess: true }],
      // The runner of node:test awaits what its functions return.
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
  partFor(filesOf(acyclicPackages), { rules: { 'local/no-import-cycles': 'error' } }),
  partFor(filesOf(otherPackages), { rules: Object.fromEntries(PENDING_RULES.map((rule) => [rule, 'off'])) }),
  partFor(filesOf(fullPackages), { ignores: ['**/*.test.ts'], rules: FULL_SOURCES }),
  partFor(testsOf(fullPackages), { rules: FULL_TESTS }),
  Object.keys(DEPENDENCIES).flatMap(boundariesOf),
);
