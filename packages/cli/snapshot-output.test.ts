/** Golden tests of the output of `micaworks snapshot`, which operators' scripts parse. */
import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { test } from 'node:test';
import { gzipSync } from 'node:zlib';
import { sampleJob } from '#testkit';
import {
  startFixedResponseServer,
  CLOSED_ADDRESS,
  createTestFolder,
  startListener,
  run,
} from './command-test-support.js';

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

/** Lines of a snapshot with each kind of line, and with each kind of row that the summary counts. */
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

/** Returns the lines as text, followed by their trailer. */
function textOf(lines: readonly object[], hasAllFinals: boolean): string {
  const body = lines.map((line) => `${JSON.stringify(line)}\n`).join('');
  const sha256 = createHash('sha256').update(body).digest('hex');
  return `${body}${JSON.stringify({ kind: 'trailer', lines: lines.length, sha256, hasAllFinals })}\n`;
}

test('snapshot prints a summary, or the reason why no snapshot was written', async (t) => {
  const folder = createTestFolder(t);
  const startNode = (text: string): Promise<string> =>
    startListener(t, {
      async *snapshot() {
        await Promise.resolve();
        yield text;
      },
    });
  const completeNode = await startNode(textOf(SNAPSHOT, true));
  const partialNode = await startNode(textOf(SNAPSHOT, false));
  const truncatedNode = await startNode(textOf(SNAPSHOT, true).slice(0, 900));
  const emptyNode = await startListener(t);
  const unexpectedNode = await startFixedResponseServer(t, 502, 'a proxy');
  const placeholders = { [folder]: 'FOLDER', [emptyNode]: 'EMPTY', [unexpectedNode]: 'STRANGE' };
  const file = join(folder, 'state.snapshot');
  const take = (node: string, ...options: string[]): Promise<string[]> =>
    run(['snapshot', file, ...options, '--node', node], placeholders);
  assert.deepEqual(await take(completeNode), [
    'exit 0',
    'FOLDER/state.snapshot: epoch 431, 1 jobs, 2 tasks on machines',
  ]);
  assert.deepEqual(await take(completeNode), [
    'exit 2',
    '! micaworks: FOLDER/state.snapshot: the file already exists; pass --force to replace it',
  ]);
  assert.deepEqual(await take(partialNode, '--force'), [
    'exit 0',
    'FOLDER/state.snapshot: epoch 431, 1 jobs, 2 tasks on machines',
    'FOLDER/state.snapshot: the state service did not give all final answers',
  ]);
  assert.deepEqual(await take(truncatedNode, '--force'), [
    'exit 1',
    '! micaworks: FOLDER/state.snapshot.partial: truncated: the file ends after 9 lines, without a trailer',
  ]);
  assert.deepEqual(await take(emptyNode, '--force'), [
    'exit 1',
    '! micaworks: EMPTY: this node holds no copy of the state yet',
  ]);
  assert.deepEqual(await take(unexpectedNode, '--force'), [
    'exit 1',
    '! micaworks: STRANGE: the node responded with status 502',
  ]);
  assert.deepEqual(await take(CLOSED_ADDRESS, '--force'), [
    'exit 1',
    '! micaworks: 127.0.0.1:1: connect ECONNREFUSED 127.0.0.1:1',
  ]);
  assert.equal(existsSync(`${file}.partial`), false);
});

test('snapshot verify and show print the content of a snapshot, or the fault of an invalid file', async (t) => {
  const folder = createTestFolder(t);
  const write = (name: string, bytes: Buffer | string): string => {
    writeFileSync(join(folder, name), bytes);
    return join(folder, name);
  };
  const placeholders = { [folder]: 'FOLDER' };
  const runOn = (command: string, file: string, ...options: string[]): Promise<string[]> =>
    run(['snapshot', command, file, ...options], placeholders);
  const whole = write('whole', gzipSync(textOf(SNAPSHOT, true)));
  // The compressed size depends on the version of the compression library.
  const size = String(readFileSync(whole).length);
  const show = async (...options: string[]): Promise<string[]> =>
    (await runOn('show', whole, ...options)).map((line) => line.replace(size, 'SIZE'));
  assert.deepEqual(await runOn('verify', whole), ['exit 0', 'FOLDER/whole: whole; version 1, 11 lines']);
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
  const emptySnapshot = [{ ...HEADER, loss: null, positions: {}, nodes: [] }];
  const unwatched = await runOn('show', write('unwatched', gzipSync(textOf(emptySnapshot, false))));
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
    ['text', 'no snapshot at all', 'foreign: the file is not compressed with gzip'],
    [
      'other',
      gzipSync('{"kind":"other"}\n'),
      'foreign: the first line is not a header of the format micaworks-snapshot',
    ],
    [
      'newer',
      gzipSync(textOf([{ ...HEADER, version: 2 }], true)),
      'newer: the file has version 2, but this program supports only up to 1',
    ],
    [
      'no-trailer',
      gzipSync(text.slice(0, text.indexOf('{"kind":"trailer"'))),
      'truncated: the file ends after 11 lines, without a trailer',
    ],
    [
      'changed',
      gzipSync(text.replace('"j-0"', '"j-9"')),
      'damaged: the line count or the checksum in the trailer does not match the lines',
    ],
  ];
  for (const [name, bytes, line] of faults) {
    const file = write(name, bytes);
    const expected = ['exit 1', `! micaworks: FOLDER/${name}: ${line}`];
    assert.deepEqual(await runOn('verify', file), expected);
    assert.deepEqual(await runOn('show', file), expected);
  }
  const missing = ['exit 2', '! micaworks: FOLDER/missing: no such file'];
  assert.deepEqual(await runOn('verify', join(folder, 'missing')), missing);
  assert.deepEqual(await runOn('show', join(folder, 'missing'), '--json'), missing);
});
