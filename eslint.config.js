import tseslint from 'typescript-eslint';

/** What each package may import of the others. Tests and the testkit may import all. */
const DEPENDENCIES = {
  wire: [],
  api: ['wire'],
  cloud: ['wire'],
  pricing: ['wire'],
  settings: ['wire'],
  store: ['wire'],
  duties: ['cloud', 'store', 'wire'],
  cluster: ['duties', 'store', 'wire'],
  recovery: ['cluster', 'store', 'wire'],
  operations: ['duties', 'recovery', 'wire'],
  workers: ['cluster', 'wire'],
  fleet: ['cloud', 'cluster', 'duties', 'pricing', 'wire'],
  cli: ['daemon', 'duties', 'operations', 'recovery', 'settings', 'wire'],
  daemon: [
    ...[
      'api',
      'cloud',
      'cluster',
      'duties',
      'fleet',
      'operations',
      'pricing',
      'recovery',
      'settings',
      'store',
    ],
    ...['wire', 'workers'],
  ],
};

/** Who may hold the clients that check no term: duties themselves, and what belongs to no duty. */
const UNFENCED_CLOUD = ['packages/duties/fenced-cloud.ts', 'packages/daemon/controller.ts'];
const UNFENCED_STORE = [
  'packages/duties/fenced-store.ts',
  // The node's own record and its campaign for the lead.
  'packages/cluster/membership.ts',
  // Reads only.
  'packages/cluster/replica.ts',
  // Users' jobs, guarded by their own keys.
  'packages/daemon/job-service.ts',
  'packages/daemon/controller.ts',
];

const BOUNDARY = 'this package may not depend on that one: see DEPENDENCIES in eslint.config.js';
const FENCE = 'act through the fenced client of #duties, under a proof of the term';

/** Imports that the files of a package may not have. */
function restrictedImports(name, files, ignores, clients) {
  const allowed = [name, ...DEPENDENCIES[name]];
  const others = [...Object.keys(DEPENDENCIES), 'testkit'].filter((other) => !allowed.includes(other));
  const paths = [
    ...others.map((other) => ({ name: `#${other}`, message: BOUNDARY })),
    ...clients.map(([from, importName]) => ({ name: from, importNames: [importName], message: FENCE })),
  ];
  const proofs = { group: ['**/term-proof.js'], message: 'proofs are given out by the DutyRegistry only' };
  const patterns = name === 'duties' ? [] : [proofs];
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

export default tseslint.config(
  { ignores: ['target/', 'node_modules/', 'packages/testkit/fixtures/'] },
  ...tseslint.configs.strict,
  {
    rules: {
      eqeqeq: 'error',
      'no-useless-rename': 'error',
      'object-shorthand': 'error',
      '@typescript-eslint/no-shadow': 'error',
      '@typescript-eslint/no-non-null-assertion': 'off',
      '@typescript-eslint/restrict-template-expressions': 'off',
    },
  },
  ...Object.keys(DEPENDENCIES).flatMap(boundariesOf),
);
