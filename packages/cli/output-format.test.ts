/** What the command line prints, to the letter, and how it ends: scripts of the operators read these lines. */
import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test, type TestContext } from 'node:test';
import { gzipSync } from 'node:zlib';
import {
  createOperatorApp,
  listenForOperators,
  type NodeDutyReport,
  type NodeLossReport,
  type OperatedNode,
} from '#operations';
import { encode, encodeJobState, encodeSubmission, type JobState } from '#wire';
import { sampleJob } from '#testkit';
import { execute } from './index.js';

/** Nothing listens there. */
const CLOSED = '127.0.0.1:1';

/** A node that knows of duties in every state. */
const DUTIES: NodeDutyReport = {
  member: 'node-1',
  membership: 'member',
  knowledgeAgeS: 0.4,
  duties: [
    {
      duty: 'lead',
      state: 'held',
      holder: 'node-1',
      term: 41,
      sinceS: 12.5,
      leaseLeftS: 2.4,
      openIntents: { rentals: ['hire-1-41-1'], returns: ['n-000003', 'n-000004'] },
      lastRefused: { action: 'deal shares', reason: 'the duty has changed hands', term: 38, ageS: 90 },
    },
    {
      duty: 'share/0',
      state: 'held',
      holder: 'node-2',
      term: 40,
      sinceS: 3,
      leaseLeftS: null,
      openIntents: null,
      lastRefused: null,
    },
    {
      duty: 'share/1',
      state: 'vacant',
      holder: null,
      term: null,
      sinceS: 0,
      leaseLeftS: null,
      openIntents: null,
      lastRefused: null,
    },
    {
      duty: 'share/2',
      state: 'acquiring',
      holder: null,
      term: null,
      sinceS: 0.1,
      leaseLeftS: null,
      openIntents: null,
      lastRefused: null,
    },
    {
      duty: 'share/3',
      state: 'suspected',
      holder: 'node-1',
      term: 37,
      sinceS: 1.2,
      leaseLeftS: 0.3,
      openIntents: null,
      lastRefused: null,
    },
    {
      duty: 'share/4',
      state: 'lost',
      holder: null,
      term: 36,
      sinceS: 100,
      leaseLeftS: null,
      openIntents: null,
      lastRefused: null,
    },
    {
      duty: 'share/5',
      state: 'resigning',
      holder: 'node-1',
      term: 35,
      sinceS: 0.7,
      leaseLeftS: 2.4,
      openIntents: null,
      lastRefused: null,
    },
  ],
};

/** A node that has just started and knows of nobody. */
const NEW_NODE: NodeDutyReport = {
  member: 'node-3',
  membership: 'joining',
  knowledgeAgeS: null,
  duties: [
    {
      duty: 'lead',
      state: 'vacant',
      holder: null,
      term: null,
      sinceS: 0,
      leaseLeftS: null,
      openIntents: { rentals: [], returns: [] },
      lastRefused: null,
    },
  ],
};

const FROZEN: NodeLossReport = {
  member: 'node-2',
  loss: {
    state: 'frozen',
    sinceS: 12.5,
    evidence: [
      {
        source: 'own requests',
        inconsistency: { kind: 'revision_regressed', known: 431, shown: 9 },
        text: 'own requests: epoch 9 is shown, 431 was seen',
      },
      {
        source: 'worker n-000001',
        inconsistency: { kind: 'log_regressed', log: '0', known: 12, shown: 0 },
        text: 'worker n-000001: log 0 ends at 0, record 12 was seen',
      },
    ],
    falseAlarms: 1,
    seen: { revision: 431, fencingToken: 7, positions: { '0': 12, lead: 3 } },
  },
};

const SERVING: NodeLossReport = {
  member: 'node-1',
  loss: { state: 'serving', sinceS: 100, evidence: [], falseAlarms: 0, seen: { revision: 432 } },
};

const NOTICED: NodeLossReport = {
  member: 'node-3',
  loss: {
    state: 'noticed',
    sinceS: 0.2,
    evidence: [
      {
        source: 'own watch',
        inconsistency: { kind: 'key_missing', key: 'mw/now/token' },
        text: 'own watch: mw/now/token is gone, and no node removes it',
      },
    ],
    falseAlarms: 0,
    seen: { revision: 431, fencingToken: 7, positions: {} },
  },
};

const NOT_WATCHED: NodeLossReport = { member: 'node-4', loss: null };

const HEADER = {
  kind: 'header',
  format: 'micaworks-snapshot',
  version: 1,
  member: 'node-2',
  nodes: ['node-1', 'node-2'],
  takenAt: 1_700_000_000_123,
  epoch: 431,
  token: 7,
  positions: { lead: 3, '0': 12 },
  loss: 'frozen',
};

/** A snapshot with a line of every kind, and rows of every kind that is counted. */
const SNAPSHOT: readonly object[] = [
  HEADER,
  { kind: 'type', type: { name: 'small' } },
  { kind: 'job', id: 'j-1', at: 5, spec: sampleJob('j-1') },
  { kind: 'final', id: 'j-0', status: 'done' },
  { kind: 'ledger', row: ['t', 1_000] },
  { kind: 'ledger', row: ['n', 'small', 'east', 'blue'] },
  { kind: 'ledger', row: ['h', 'n-1', 0, 1, 0, 0, 0] },
  { kind: 'ledger', row: ['q', { id: 'hire-1-41-1' }] },
  { kind: 'ledger', row: ['p', 0, 'small', 1, 0, 1] },
  {
    kind: 'ledger',
    row: [
      's',
      'j-1',
      2,
      0,
      1_024,
      [2, 0, 4],
      [
        [0, 0, 1],
        [1, 0, 1],
      ],
    ],
  },
  { kind: 'ledger', row: ['d', 'j-1', '2'] },
];

/** Lines as text, with the trailer that belongs to them. */
function textOf(lines: readonly object[], hasAllFinals: boolean): string {
  const body = lines.map((line) => `${JSON.stringify(line)}\n`).join('');
  const sha256 = createHash('sha256').update(body).digest('hex');
  return `${body}${JSON.stringify({ kind: 'trailer', lines: lines.length, sha256, hasAllFinals })}\n`;
}

const NODE: OperatedNode = {
  dutyReport: () => DUTIES,
  lossReport: () => SERVING,
  snapshot: () => null,
  resign: () => Promise.resolve({ kind: 'handed_over' }),
};

/** The address of a listener over a node, which ends with the test. */
async function listen(t: TestContext, node: Partial<OperatedNode> = {}): Promise<string> {
  const app = createOperatorApp({ ...NODE, ...node }, () => undefined);
  const server = await listenForOperators(app, '127.0.0.1:0');
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  return addressOf(server);
}

/** The address of a server that gives each request the same answer, which ends with the test. */
async function answerAlways(t: TestContext, status: number, body: Buffer | string): Promise<string> {
  const server = createServer((_request, response) => {
    response.statusCode = status;
    response.end(body);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  return addressOf(server);
}

function addressOf(server: Server): string {
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** A folder for the files of a test, which ends with it. */
function folderFor(t: TestContext): string {
  const folder = mkdtempSync(join(tmpdir(), 'micaworks-output-'));
  t.after(() => {
    rmSync(folder, { recursive: true });
  });
  return folder;
}

/** What stands for text that differs from run to run. */
type Names = Readonly<Record<string, string>>;

/** Runs a command: its exit code, then what it printed, then its errors after `! `. */
async function run(args: readonly string[], names: Names = {}): Promise<string[]> {
  const lines: string[] = [];
  const code = await execute(
    args,
    (line) => lines.push(...line.split('\n')),
    (line) => lines.push(`! ${line}`),
  );
  const named = (line: string): string =>
    Object.entries(names).reduce((text, [value, name]) => text.replaceAll(value, name), line);
  return [`exit ${code}`, ...lines.map(named)];
}

test('the help names every command and option in these words', async () => {
  assert.deepEqual(await run(['--help']), [
    'exit 0',
    'Usage: micaworks [options] [command]',
    '',
    'A cluster scheduler, and the tools to operate it',
    '',
    'Options:',
    '  -V, --version              output the version number',
    '  -h, --help                 display help for command',
    '',
    'Commands:',
    '  run [options]              run a node of the service until it is killed',
    '  check [options]            check settings files without starting anything',
    '  submit [options] <file>    submit the job that a JSON file describes; - reads',
    '                             standard input',
    "  show [options] <job>       tell a job's state",
    '  withdraw [options] <job>   cancel a job',
    '  duties [options]           show who holds each duty that one controller may',
    '                             hold at a time',
    '  recover                    watch for, and recover from, lost state',
    "  snapshot [options] <file>  write the state as a node's copy holds it to a file",
    '  help [command]             display help for command',
  ]);
  assert.deepEqual(await run(['run', '--help']), [
    'exit 0',
    'Usage: micaworks run [options]',
    '',
    'run a node of the service until it is killed',
    '',
    'Options:',
    "  --config <file>    the platform's settings (TOML)",
    "  --operator <file>  operators' settings (XML)",
    '  -h, --help         display help for command',
  ]);
  assert.deepEqual(await run(['check', '--help']), [
    'exit 0',
    'Usage: micaworks check [options]',
    '',
    'check settings files without starting anything',
    '',
    'Options:',
    "  --config <file>    the platform's settings (TOML)",
    "  --operator <file>  operators' settings (XML)",
    '  -h, --help         display help for command',
  ]);
  assert.deepEqual(await run(['submit', '--help']), [
    'exit 0',
    'Usage: micaworks submit [options] <file>',
    '',
    'submit the job that a JSON file describes; - reads standard input',
    '',
    'Options:',
    '  --node <address>  address at which a node serves users (default:',
    '                    "127.0.0.1:8080")',
    '  -h, --help        display help for command',
  ]);
  assert.deepEqual(await run(['show', '--help']), [
    'exit 0',
    'Usage: micaworks show [options] <job>',
    '',
    "tell a job's state",
    '',
    'Options:',
    '  --node <address>  address at which a node serves users (default:',
    '                    "127.0.0.1:8080")',
    '  -h, --help        display help for command',
  ]);
  assert.deepEqual(await run(['withdraw', '--help']), [
    'exit 0',
    'Usage: micaworks withdraw [options] <job>',
    '',
    'cancel a job',
    '',
    'Options:',
    '  --node <address>  address at which a node serves users (default:',
    '                    "127.0.0.1:8080")',
    '  -h, --help        display help for command',
  ]);
  assert.deepEqual(await run(['duties', '--help']), [
    'exit 0',
    'Usage: micaworks duties [options] [command]',
    '',
    'show who holds each duty that one controller may hold at a time',
    '',
    'Options:',
    "  --node <address...>      operators' listener of one or more nodes (default:",
    '                           ["127.0.0.1:7070"])',
    '  --json                   print JSON (default: false)',
    '  -h, --help               display help for command',
    '',
    'Commands:',
    '  resign [options] <duty>  have the node that holds a duty (lead or share/N)',
    '                           hand it over',
  ]);
  assert.deepEqual(await run(['duties', 'resign', '--help']), [
    'exit 0',
    'Usage: micaworks duties resign [options] <duty>',
    '',
    'have the node that holds a duty (lead or share/N) hand it over',
    '',
    'Options:',
    "  --node <address>  operators' listener of the node that holds it",
    '  -h, --help        display help for command',
  ]);
  assert.deepEqual(await run(['recover', '--help']), [
    'exit 0',
    'Usage: micaworks recover [options] [command]',
    '',
    'watch for, and recover from, lost state',
    '',
    'Options:',
    '  -h, --help        display help for command',
    '',
    'Commands:',
    '  status [options]  tell whether the state service has lost data; exit code 1 if',
    '                    it has',
    '  help [command]    display help for command',
  ]);
  assert.deepEqual(await run(['recover', 'status', '--help']), [
    'exit 0',
    'Usage: micaworks recover status [options]',
    '',
    'tell whether the state service has lost data; exit code 1 if it has',
    '',
    'Options:',
    "  --node <address...>  operators' listener of one or more nodes (default:",
    '                       ["127.0.0.1:7070"])',
    '  --json               print JSON (default: false)',
    '  -h, --help           display help for command',
  ]);
  assert.deepEqual(await run(['snapshot', '--help']), [
    'exit 0',
    'Usage: micaworks snapshot [options] [command] <file>',
    '',
    "write the state as a node's copy holds it to a file",
    '',
    'Options:',
    "  --node <address>       operators' listener of the node (default:",
    '                         "127.0.0.1:7070")',
    '  --force                replace the file (default: false)',
    '  -h, --help             display help for command',
    '',
    'Commands:',
    '  verify <file>          tell whether a snapshot is whole; exit code 1 if not',
    '  show [options] <file>  tell what a snapshot holds',
  ]);
  assert.deepEqual(await run(['snapshot', 'verify', '--help']), [
    'exit 0',
    'Usage: micaworks snapshot verify [options] <file>',
    '',
    'tell whether a snapshot is whole; exit code 1 if not',
    '',
    'Options:',
    '  -h, --help  display help for command',
  ]);
  assert.deepEqual(await run(['snapshot', 'show', '--help']), [
    'exit 0',
    'Usage: micaworks snapshot show [options] <file>',
    '',
    'tell what a snapshot holds',
    '',
    'Options:',
    '  --json      print JSON (default: false)',
    '  -h, --help  display help for command',
  ]);
});

test('the version is that of the package', async () => {
  assert.deepEqual(await run(['--version']), ['exit 0', '0.1.0']);
});

test('duties prints this table', async (t) => {
  const nodes = [await listen(t), await listen(t, { dutyReport: () => NEW_NODE })];
  assert.deepEqual(await run(['duties', '--node', ...nodes, CLOSED]), [
    'exit 0',
    'NODE    DUTY     STATE      HOLDER  TERM  SINCE   LEASE  OPEN                  LAST REFUSED',
    'node-1  lead     held       node-1  41    12.5 s  2.4 s  1 rentals, 2 returns  deal shares: the duty has changed hands (term 38, 90 s ago)',
    'node-1  share/0  held       node-2  40    3 s     -      -                     -',
    'node-1  share/1  vacant     -       -     0 s     -      -                     -',
    'node-1  share/2  acquiring  -       -     0.1 s   -      -                     -',
    'node-1  share/3  suspected  node-1  37    1.2 s   0.3 s  -                     -',
    'node-1  share/4  lost       -       36    100 s   -      -                     -',
    'node-1  share/5  resigning  node-1  35    0.7 s   2.4 s  -                     -',
    'node-3  lead     vacant     -       -     0 s     -      0 rentals, 0 returns  -',
    'node-1: member; what it knows is 0.4 s old',
    'node-3: joining; what it knows is never complete',
    '127.0.0.1:1: no answer (connect ECONNREFUSED 127.0.0.1:1)',
  ]);
});

test('duties --json prints this object', async (t) => {
  const [first, second] = [await listen(t), await listen(t, { dutyReport: () => NEW_NODE })];
  const names = { [first]: 'FIRST', [second]: 'SECOND' };
  assert.deepEqual(await run(['duties', '--json', '--node', first, second, CLOSED], names), [
    'exit 0',
    '{',
    '  "nodes": [',
    '    {',
    '      "node": "FIRST",',
    '      "member": "node-1",',
    '      "membership": "member",',
    '      "knowledgeAgeS": 0.4,',
    '      "duties": [',
    '        {',
    '          "duty": "lead",',
    '          "state": "held",',
    '          "holder": "node-1",',
    '          "term": 41,',
    '          "sinceS": 12.5,',
    '          "leaseLeftS": 2.4,',
    '          "openIntents": {',
    '            "rentals": [',
    '              "hire-1-41-1"',
    '            ],',
    '            "returns": [',
    '              "n-000003",',
    '              "n-000004"',
    '            ]',
    '          },',
    '          "lastRefused": {',
    '            "action": "deal shares",',
    '            "reason": "the duty has changed hands",',
    '            "term": 38,',
    '            "ageS": 90',
    '          }',
    '        },',
    '        {',
    '          "duty": "share/0",',
    '          "state": "held",',
    '          "holder": "node-2",',
    '          "term": 40,',
    '          "sinceS": 3,',
    '          "leaseLeftS": null,',
    '          "openIntents": null,',
    '          "lastRefused": null',
    '        },',
    '        {',
    '          "duty": "share/1",',
    '          "state": "vacant",',
    '          "holder": null,',
    '          "term": null,',
    '          "sinceS": 0,',
    '          "leaseLeftS": null,',
    '          "openIntents": null,',
    '          "lastRefused": null',
    '        },',
    '        {',
    '          "duty": "share/2",',
    '          "state": "acquiring",',
    '          "holder": null,',
    '          "term": null,',
    '          "sinceS": 0.1,',
    '          "leaseLeftS": null,',
    '          "openIntents": null,',
    '          "lastRefused": null',
    '        },',
    '        {',
    '          "duty": "share/3",',
    '          "state": "suspected",',
    '          "holder": "node-1",',
    '          "term": 37,',
    '          "sinceS": 1.2,',
    '          "leaseLeftS": 0.3,',
    '          "openIntents": null,',
    '          "lastRefused": null',
    '        },',
    '        {',
    '          "duty": "share/4",',
    '          "state": "lost",',
    '          "holder": null,',
    '          "term": 36,',
    '          "sinceS": 100,',
    '          "leaseLeftS": null,',
    '          "openIntents": null,',
    '          "lastRefused": null',
    '        },',
    '        {',
    '          "duty": "share/5",',
    '          "state": "resigning",',
    '          "holder": "node-1",',
    '          "term": 35,',
    '          "sinceS": 0.7,',
    '          "leaseLeftS": 2.4,',
    '          "openIntents": null,',
    '          "lastRefused": null',
    '        }',
    '      ]',
    '    },',
    '    {',
    '      "node": "SECOND",',
    '      "member": "node-3",',
    '      "membership": "joining",',
    '      "knowledgeAgeS": null,',
    '      "duties": [',
    '        {',
    '          "duty": "lead",',
    '          "state": "vacant",',
    '          "holder": null,',
    '          "term": null,',
    '          "sinceS": 0,',
    '          "leaseLeftS": null,',
    '          "openIntents": {',
    '            "rentals": [],',
    '            "returns": []',
    '          },',
    '          "lastRefused": null',
    '        }',
    '      ]',
    '    }',
    '  ],',
    '  "silent": [',
    '    {',
    '      "node": "127.0.0.1:1",',
    '      "reason": "connect ECONNREFUSED 127.0.0.1:1"',
    '    }',
    '  ]',
    '}',
  ]);
});

test('duties fails in these words if no node answers', async (t) => {
  const text = await answerAlways(t, 200, 'no JSON');
  const number = await answerAlways(t, 200, '7');
  const error = await answerAlways(t, 500, '{"error":"internal error"}');
  const long = await answerAlways(t, 200, 'x'.repeat(5 * 1024 * 1024));
  const names = { [text]: 'TEXT', [number]: 'NUMBER', [error]: 'ERROR', [long]: 'LONG' };
  const nodes = ['--node', text, number, error, long, CLOSED];
  assert.deepEqual(await run(['duties', ...nodes], names), [
    'exit 1',
    'NODE  DUTY  STATE  HOLDER  TERM  SINCE  LEASE  OPEN  LAST REFUSED',
    'TEXT: no answer (its answer is not JSON)',
    'NUMBER: no answer (its answer is not JSON)',
    'ERROR: no answer (internal error)',
    'LONG: no answer (its answer is too large)',
    '127.0.0.1:1: no answer (connect ECONNREFUSED 127.0.0.1:1)',
    '! micaworks: no node answered; is operations/listen set in their XML?',
  ]);
  assert.deepEqual(await run(['duties', '--json', '--node', CLOSED]), [
    'exit 1',
    '{',
    '  "nodes": [],',
    '  "silent": [',
    '    {',
    '      "node": "127.0.0.1:1",',
    '      "reason": "connect ECONNREFUSED 127.0.0.1:1"',
    '    }',
    '  ]',
    '}',
    '! micaworks: no node answered; is operations/listen set in their XML?',
  ]);
});

test('duties resign prints one of these lines', async (t) => {
  const done = await listen(t);
  const refusing = await listen(t, {
    resign: () => Promise.resolve({ kind: 'refused', reason: 'share/1 is not held here: node-2 holds it' }),
  });
  const failing = await listen(t, { resign: () => Promise.reject(new Error('unforeseen')) });
  const strange = await answerAlways(t, 200, '{"kind":"later"}');
  const names = { [failing]: 'FAILING' };
  const resign = (role: string, node: string): Promise<string[]> =>
    run(['duties', 'resign', role, '--node', node], names);
  assert.deepEqual(await resign('lead', done), ['exit 0', 'lead was handed over']);
  assert.deepEqual(await resign('share/12', done), ['exit 0', 'share/12 was handed over']);
  assert.deepEqual(await resign('share/1', refusing), [
    'exit 1',
    '! micaworks: share/1 was not handed over: share/1 is not held here: node-2 holds it',
  ]);
  assert.deepEqual(await resign('lead', failing), [
    'exit 1',
    '! micaworks: FAILING: internal error; the log of the node says more',
  ]);
  assert.deepEqual(await resign('lead', strange), ['exit 1', '! micaworks: lead was not handed over: ?']);
  assert.deepEqual(await resign('lead', CLOSED), [
    'exit 1',
    '! micaworks: 127.0.0.1:1: connect ECONNREFUSED 127.0.0.1:1',
  ]);
});

test('recover status prints this table, and fails if state is lost', async (t) => {
  const nodes: string[] = [];
  for (const report of [FROZEN, SERVING, NOTICED, NOT_WATCHED]) {
    nodes.push(await listen(t, { lossReport: () => report }));
  }
  assert.deepEqual(await run(['recover', 'status', '--node', ...nodes, CLOSED]), [
    'exit 1',
    'NODE    STATE        SINCE   FALSE ALARMS  HIGHEST EPOCH  HIGHEST TOKEN',
    'node-2  frozen       12.5 s  1             431            7',
    'node-1  serving      100 s   0             432            0',
    'node-3  noticed      0.2 s   0             431            7',
    'node-4  not watched  -       -             -              -',
    'node-2: own requests: epoch 9 is shown, 431 was seen',
    'node-2: worker n-000001: log 0 ends at 0, record 12 was seen',
    'node-3: own watch: mw/now/token is gone, and no node removes it',
    '127.0.0.1:1: no answer (connect ECONNREFUSED 127.0.0.1:1)',
    '! micaworks: the state service has lost state, as node-2, node-3 found; see docs/operations/recovery.md',
  ]);
  const [, serving = '', , unwatched = ''] = nodes;
  assert.deepEqual(await run(['recover', 'status', '--node', serving, unwatched]), [
    'exit 0',
    'NODE    STATE        SINCE  FALSE ALARMS  HIGHEST EPOCH  HIGHEST TOKEN',
    'node-1  serving      100 s  0             432            0',
    'node-4  not watched  -      -             -              -',
  ]);
  assert.deepEqual(await run(['recover', 'status', '--node', CLOSED]), [
    'exit 1',
    'NODE  STATE  SINCE  FALSE ALARMS  HIGHEST EPOCH  HIGHEST TOKEN',
    '127.0.0.1:1: no answer (connect ECONNREFUSED 127.0.0.1:1)',
    '! micaworks: no node answered; is operations/listen set in their XML?',
  ]);
});

test('recover status --json prints this object', async (t) => {
  const frozen = await listen(t, { lossReport: () => FROZEN });
  const unwatched = await listen(t, { lossReport: () => NOT_WATCHED });
  const names = { [frozen]: 'FROZEN', [unwatched]: 'UNWATCHED' };
  assert.deepEqual(await run(['recover', 'status', '--json', '--node', frozen, unwatched, CLOSED], names), [
    'exit 1',
    '{',
    '  "nodes": [',
    '    {',
    '      "node": "FROZEN",',
    '      "member": "node-2",',
    '      "loss": {',
    '        "state": "frozen",',
    '        "sinceS": 12.5,',
    '        "evidence": [',
    '          {',
    '            "source": "own requests",',
    '            "contradiction": {',
    '              "kind": "epoch_went_back",',
    '              "known": 431,',
    '              "shown": 9',
    '            },',
    '            "text": "own requests: epoch 9 is shown, 431 was seen"',
    '          },',
    '          {',
    '            "source": "worker n-000001",',
    '            "contradiction": {',
    '              "kind": "log_went_back",',
    '              "log": "0",',
    '              "known": 12,',
    '              "shown": 0',
    '            },',
    '            "text": "worker n-000001: log 0 ends at 0, record 12 was seen"',
    '          }',
    '        ],',
    '        "falseAlarms": 1,',
    '        "seen": {',
    '          "epoch": 431,',
    '          "token": 7,',
    '          "positions": {',
    '            "0": 12,',
    '            "lead": 3',
    '          }',
    '        }',
    '      }',
    '    },',
    '    {',
    '      "node": "UNWATCHED",',
    '      "member": "node-4",',
    '      "loss": null',
    '    }',
    '  ],',
    '  "silent": [',
    '    {',
    '      "node": "127.0.0.1:1",',
    '      "reason": "connect ECONNREFUSED 127.0.0.1:1"',
    '    }',
    '  ]',
    '}',
    '! micaworks: the state service has lost state, as node-2 found; see docs/operations/recovery.md',
  ]);
  const serving = await listen(t, { lossReport: () => SERVING });
  assert.deepEqual(await run(['recover', 'status', '--json', '--node', serving], { [serving]: 'SERVING' }), [
    'exit 0',
    '{',
    '  "nodes": [',
    '    {',
    '      "node": "SERVING",',
    '      "member": "node-1",',
    '      "loss": {',
    '        "state": "serving",',
    '        "sinceS": 100,',
    '        "evidence": [],',
    '        "falseAlarms": 0,',
    '        "seen": {',
    '          "epoch": 432',
    '        }',
    '      }',
    '    }',
    '  ],',
    '  "silent": []',
    '}',
  ]);
});

test('snapshot prints one of these lines', async (t) => {
  const folder = folderFor(t);
  const sending = (text: string): Promise<string> =>
    listen(t, {
      async *snapshot() {
        await Promise.resolve();
        yield text;
      },
    });
  const whole = await sending(textOf(SNAPSHOT, true));
  const partial = await sending(textOf(SNAPSHOT, false));
  const cut = await sending(textOf(SNAPSHOT, true).slice(0, 900));
  const empty = await listen(t);
  const strange = await answerAlways(t, 502, 'a proxy');
  const names = { [folder]: 'FOLDER', [empty]: 'EMPTY', [strange]: 'STRANGE' };
  const file = join(folder, 'state.snapshot');
  const take = (node: string, ...options: string[]): Promise<string[]> =>
    run(['snapshot', file, ...options, '--node', node], names);
  assert.deepEqual(await take(whole), [
    'exit 0',
    'FOLDER/state.snapshot: epoch 431, 1 jobs, 2 tasks on machines',
  ]);
  assert.deepEqual(await take(whole), [
    'exit 2',
    '! micaworks: FOLDER/state.snapshot: there is such a file; --force replaces it',
  ]);
  assert.deepEqual(await take(partial, '--force'), [
    'exit 0',
    'FOLDER/state.snapshot: epoch 431, 1 jobs, 2 tasks on machines',
    'FOLDER/state.snapshot: the state service did not give all final answers',
  ]);
  assert.deepEqual(await take(cut, '--force'), [
    'exit 1',
    '! micaworks: FOLDER/state.snapshot.partial: truncated: it ends after 9 lines',
  ]);
  assert.deepEqual(await take(empty, '--force'), [
    'exit 1',
    '! micaworks: EMPTY: this node holds no copy of the state yet',
  ]);
  assert.deepEqual(await take(strange, '--force'), [
    'exit 1',
    '! micaworks: STRANGE: answered with status 502',
  ]);
  assert.deepEqual(await take(CLOSED, '--force'), [
    'exit 1',
    '! micaworks: 127.0.0.1:1: connect ECONNREFUSED 127.0.0.1:1',
  ]);
  assert.equal(existsSync(`${file}.partial`), false);
});

test('snapshot verify and show print these lines', async (t) => {
  const folder = folderFor(t);
  const write = (name: string, bytes: Buffer | string): string => {
    writeFileSync(join(folder, name), bytes);
    return join(folder, name);
  };
  const names = { [folder]: 'FOLDER' };
  const on = (command: string, file: string, ...options: string[]): Promise<string[]> =>
    run(['snapshot', command, file, ...options], names);
  const whole = write('whole', gzipSync(textOf(SNAPSHOT, true)));
  // How well it is compressed is the library's.
  const size = String(readFileSync(whole).length);
  const show = async (...options: string[]): Promise<string[]> =>
    (await on('show', whole, ...options)).map((line) => line.replace(size, 'SIZE'));
  assert.deepEqual(await on('verify', whole), ['exit 0', 'FOLDER/whole: whole; version 1, 11 lines']);
  assert.deepEqual(await show(), [
    'exit 0',
    'taken at           2023-11-14T22:13:20.123Z',
    'by                 node-2 (of node-1, node-2)',
    'lost state         frozen',
    'epoch, token       431, 7',
    'logs               0: 12, lead: 3',
    'jobs               1',
    'tasks on machines  2',
    'final answers      1',
    'machines           1',
    'open rentals       1',
    'size               SIZE bytes, 11 lines',
  ]);
  assert.deepEqual(await show('--json'), [
    'exit 0',
    '{',
    '  "header": {',
    '    "kind": "header",',
    '    "format": "micaworks-snapshot",',
    '    "version": 1,',
    '    "member": "node-2",',
    '    "nodes": [',
    '      "node-1",',
    '      "node-2"',
    '    ],',
    '    "takenAt": 1700000000123,',
    '    "epoch": 431,',
    '    "token": 7,',
    '    "positions": {',
    '      "0": 12,',
    '      "lead": 3',
    '    },',
    '    "loss": "frozen"',
    '  },',
    '  "jobs": 1,',
    '  "finals": 1,',
    '  "machines": 1,',
    '  "rentals": 1,',
    '  "tasks": 2,',
    '  "machineTypes": 1,',
    '  "lines": 11,',
    '  "hasAllFinals": true,',
    '  "positions": {',
    '    "0": 12,',
    '    "lead": 3',
    '  },',
    '  "bytes": SIZE',
    '}',
  ]);
  const bare = [{ ...HEADER, loss: null, positions: {}, nodes: [] }];
  const unwatched = await on('show', write('unwatched', gzipSync(textOf(bare, false))));
  assert.deepEqual(
    unwatched.filter((line) => !line.startsWith('size')),
    [
      'exit 0',
      'taken at           2023-11-14T22:13:20.123Z',
      'by                 node-2 (of )',
      'lost state         not watched',
      'epoch, token       431, 7',
      'logs',
      'jobs               0',
      'tasks on machines  0',
      'final answers      0, not all',
      'machines           0',
      'open rentals       0',
    ],
  );
  const text = textOf(SNAPSHOT, true);
  const faults: [name: string, bytes: Buffer | string, line: string][] = [
    ['text', 'no snapshot at all', 'foreign: it is not compressed as a snapshot is'],
    ['other', gzipSync('{"kind":"other"}\n'), 'foreign: it is no snapshot'],
    [
      'newer',
      gzipSync(textOf([{ ...HEADER, version: 2 }], true)),
      'newer: it has version 2, this program reads up to 1',
    ],
    [
      'no-trailer',
      gzipSync(text.slice(0, text.indexOf('{"kind":"trailer"'))),
      'truncated: it ends after 11 lines',
    ],
    ['changed', gzipSync(text.replace('"j-0"', '"j-9"')), 'damaged: its checksum is wrong'],
  ];
  for (const [name, bytes, line] of faults) {
    const file = write(name, bytes);
    const expected = ['exit 1', `! micaworks: FOLDER/${name}: ${line}`];
    assert.deepEqual(await on('verify', file), expected);
    assert.deepEqual(await on('show', file), expected);
  }
  const missing = ['exit 2', '! micaworks: FOLDER/missing: there is no such file'];
  assert.deepEqual(await on('verify', join(folder, 'missing')), missing);
  assert.deepEqual(await on('show', join(folder, 'missing'), '--json'), missing);
});

test('check prints these lines', async (t) => {
  const folder = folderFor(t);
  const names = { [folder]: 'FOLDER' };
  const write = (name: string, text: string): string => {
    writeFileSync(join(folder, name), text);
    return join(folder, name);
  };
  const config = write('settings.toml', SETTINGS);
  const off = write('off.xml', '<micaworks></micaworks>');
  const on = write(
    'on.xml',
    '<micaworks><operations><listen>127.0.0.1:7070</listen></operations></micaworks>',
  );
  assert.deepEqual(await run(['check', '--config', config, '--operator', off], names), [
    'exit 0',
    'FOLDER/settings.toml: usable; node hive-0 with 1 peers',
    "FOLDER/off.xml: usable; operators' listener off",
  ]);
  assert.deepEqual(await run(['check', '--operator', on], names), [
    'exit 0',
    "FOLDER/on.xml: usable; operators' listener 127.0.0.1:7070",
  ]);
  const wrong = write('wrong.toml', 'member = 1');
  assert.deepEqual(await run(['check', '--config', wrong], names), [
    'exit 2',
    '! micaworks: member: Invalid input',
  ]);
  const wrongXml = write('wrong.xml', '<micaworks><round><gapMs>5</gapMs></round></micaworks>');
  assert.deepEqual(await run(['check', '--config', config, '--operator', wrongXml], names), [
    'exit 2',
    'FOLDER/settings.toml: usable; node hive-0 with 1 peers',
    "! micaworks: operators' file: round/gapMs: must be a number from 20 to 5000",
  ]);
  assert.deepEqual(await run(['run', '--config', wrong], names), [
    'exit 2',
    '! micaworks: member: Invalid input',
  ]);
  assert.deepEqual(await run(['run', '--config', config, '--operator', wrongXml], names), [
    'exit 2',
    "! micaworks: operators' file: round/gapMs: must be a number from 20 to 5000",
  ]);
  const missing = join(folder, 'missing');
  assert.deepEqual(await run(['check', '--config', missing], names), [
    'exit 2',
    "! micaworks: FOLDER/missing: ENOENT: no such file or directory, open 'FOLDER/missing'",
  ]);
  assert.deepEqual(await run(['check', '--operator', missing], names), [
    'exit 2',
    "! micaworks: FOLDER/missing: ENOENT: no such file or directory, open 'FOLDER/missing'",
  ]);
});

const SETTINGS = `
member = "hive-0"
domain = "almaty"
bind = "10.0.0.1:8080"
cluster_listen = "10.0.0.1:8081"
[[peers]]
member = "hive-1"
domain = "astana"
endpoint = "10.0.0.2:8081"
[endpoints]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[facts]
initial_size = 3
zones = ["almaty", "astana"]
teams = []
[facts.workers]
report_s = 3.0
lease_s = 22.0
cancel_s = 47.0
[facts.state]
rps = 80.0
write_rps = 25.0
value_kb = 4.0
txn_ops = 8
[facts.cloud]
rps = 10.0
list_lag_s = 6.0
[facts.machine_limits]
cpu = 0.255
mem_mb = 306.0
sockets = 2500
`;

test("a job's state is printed as one of these lines", async (t) => {
  const states: [state: JobState, line: string][] = [
    [{ id: 'j-7', status: 'pending' }, 'j-7: pending'],
    [{ id: 'j-7', status: 'running', done: 1, running: 2 }, 'j-7: running, 1 tasks done, 2 running'],
    [{ id: 'j-7', status: 'done' }, 'j-7: done'],
    [{ id: 'j-7', status: 'cancelled' }, 'j-7: cancelled'],
  ];
  const folder = folderFor(t);
  const file = join(folder, 'job.json');
  writeFileSync(file, JSON.stringify(encodeSubmission(sampleJob('j-7'))));
  for (const [state, line] of states) {
    const node = await answerAlways(t, 200, encode(encodeJobState(state)));
    const commands = [
      ['submit', file],
      ['show', 'j-7'],
      ['withdraw', 'j-7'],
    ];
    for (const command of commands) {
      assert.deepEqual(await run([...command, '--node', node]), ['exit 0', line], command[0]);
    }
  }
});

test('an answer that tells no state is printed as one of these lines', async (t) => {
  const answers: [status: number, body: object, line: string][] = [
    [201, { Uid: 'j-7', Status: 'later' }, 'j-7: unknown state'],
    [400, { error: 'Lane' }, '! micaworks: refused with 400: Lane'],
    [404, { error: 'no such job' }, '! micaworks: refused with 404: no such job'],
    [500, {}, '! micaworks: refused with 500: no reason given'],
  ];
  for (const [status, body, line] of answers) {
    const node = await answerAlways(t, status, encode(body));
    const code = line.startsWith('!') ? 1 : 0;
    assert.deepEqual(await run(['show', 'j-7', '--node', node]), [`exit ${code}`, line]);
  }
});

test('wrong usage ends with exit code 2 and one of these lines', async (t) => {
  const folder = folderFor(t);
  const names = { [folder]: 'FOLDER' };
  const write = (name: string, text: string): string => {
    writeFileSync(join(folder, name), text);
    return join(folder, name);
  };
  const job = encodeSubmission(sampleJob('j-1'));
  const cases: string[][] = [
    [],
    ['frobnicate'],
    ['dutie'],
    ['--frob'],
    ['run'],
    ['run', '--config', join(folder, 'missing.toml')],
    ['check'],
    ['check', 'more'],
    ['submit'],
    ['submit', join(folder, 'missing.json')],
    ['submit', write('cut.json', '{"Uid":')],
    ['submit', write('array.json', '[]')],
    ['submit', write('no-team.json', JSON.stringify({ ...job, Crew: null }))],
    ['submit', write('job.json', JSON.stringify(job)), '--node', '127.0.0.1'],
    ['show'],
    ['show', 'j-'],
    ['show', 'j-7', '--node', 'nowhere'],
    ['withdraw', 'everything'],
    ['withdraw', 'j-7', '--node', '127.0.0.1:0'],
    ['duties', '--frob'],
    ['duties', '--jsn'],
    ['duties', '--node'],
    ['duties', '--node', 'nowhere'],
    ['duties', '--node', '127.0.0.1:70700'],
    ['duties', 'resign'],
    ['duties', 'resign', 'lead'],
    ['duties', 'resign', 'share/x', '--node', CLOSED],
    ['recover'],
    ['recover', 'frobnicate'],
    ['recover', 'status', '--node', 'nowhere'],
    ['snapshot'],
    ['snapshot', join(folder, 'new'), '--node', 'nowhere'],
    ['snapshot', 'verify'],
    ['snapshot', 'show'],
  ];
  const lines: string[] = [];
  for (const args of cases) {
    const [code, ...printed] = await run(args, names);
    assert.equal(code, 'exit 2', args.join(' '));
    assert.equal(printed.length, 1, args.join(' '));
    lines.push(printed[0] ?? '');
  }
  assert.deepEqual(lines, [
    '! micaworks: name a command; micaworks --help lists what there is',
    "! micaworks: unknown command 'frobnicate'; micaworks --help lists what there is",
    "! micaworks: unknown command 'dutie' (Did you mean duties?); micaworks --help lists what there is",
    "! micaworks: unknown option '--frob'; micaworks --help lists what there is",
    "! micaworks: required option '--config <file>' not specified; micaworks --help lists what there is",
    "! micaworks: FOLDER/missing.toml: ENOENT: no such file or directory, open 'FOLDER/missing.toml'",
    '! micaworks: name a file to check: --config FILE, --operator FILE, or both',
    "! micaworks: too many arguments for 'check'. Expected 0 arguments but got 1.; micaworks --help lists what there is",
    "! micaworks: missing required argument 'file'; micaworks --help lists what there is",
    "! micaworks: FOLDER/missing.json: ENOENT: no such file or directory, open 'FOLDER/missing.json'",
    '! micaworks: FOLDER/cut.json: not JSON',
    '! micaworks: FOLDER/array.json: body is missing or invalid',
    '! micaworks: FOLDER/no-team.json: Crew is missing or invalid',
    '! micaworks: 127.0.0.1: not an address; write HOST:PORT, such as 127.0.0.1:7070',
    "! micaworks: missing required argument 'job'; micaworks --help lists what there is",
    '! micaworks: j-: not a job id; they look like j-000412',
    '! micaworks: nowhere: not an address; write HOST:PORT, such as 127.0.0.1:7070',
    '! micaworks: everything: not a job id; they look like j-000412',
    '! micaworks: 127.0.0.1:0: not an address; write HOST:PORT, such as 127.0.0.1:7070',
    "! micaworks: unknown option '--frob'; micaworks --help lists what there is",
    "! micaworks: unknown option '--jsn' (Did you mean --json?); micaworks --help lists what there is",
    "! micaworks: option '--node <address...>' argument missing; micaworks --help lists what there is",
    '! micaworks: nowhere: not an address; write HOST:PORT, such as 127.0.0.1:7070',
    '! micaworks: 127.0.0.1:70700: not an address; write HOST:PORT, such as 127.0.0.1:7070',
    "! micaworks: required option '--node <address>' not specified; micaworks --help lists what there is",
    "! micaworks: required option '--node <address>' not specified; micaworks --help lists what there is",
    '! micaworks: share/x: no such duty; write lead or share/N',
    '! micaworks: name a command; micaworks --help lists what there is',
    "! micaworks: unknown command 'frobnicate'; micaworks --help lists what there is",
    '! micaworks: nowhere: not an address; write HOST:PORT, such as 127.0.0.1:7070',
    "! micaworks: missing required argument 'file'; micaworks --help lists what there is",
    '! micaworks: nowhere: not an address; write HOST:PORT, such as 127.0.0.1:7070',
    "! micaworks: missing required argument 'file'; micaworks --help lists what there is",
    "! micaworks: missing required argument 'file'; micaworks --help lists what there is",
  ]);
});
