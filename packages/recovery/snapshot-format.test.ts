/** Golden tests of the snapshot format, to the byte: files written by earlier versions hold exactly these lines. */
import assert from 'node:assert/strict';
import { Readable } from 'node:stream';
import { test } from 'node:test';
import { gzipSync } from 'node:zlib';
import { encodeCheckpointRows, Ledger, Replica } from '#cluster';
import { sampleJob } from '#testkit';
import type { MachineType } from '#wire';
import { MAX_LINE_BYTES, SNAPSHOT_FORMAT, SNAPSHOT_VERSION, type SnapshotLine } from './snapshot-format.js';
import type { SnapshotOrigin } from './snapshot-codec.js';
import { SnapshotError } from './snapshot-error.js';
import { readSnapshot, type SnapshotSummary } from './snapshot-reader.js';
import { type FetchTerminalStatusPage, writeSnapshot } from './snapshot-writer.js';

/** Returns a ledger with machines in every status, an open scale-out request, prices, array and gang tasks, and completed tasks. */
function sampleLedger(): Ledger {
  const ledger = new Ledger();
  ledger.apply('lead', {
    sequence: 1,
    recordedAtMs: 1_000,
    machines: [
      ['n-000001', 'small', 'east', false, 1_000, 0],
      ['n-000002', 'large', 'west', true, 2_500, 0],
      ['n-000003', 'small', 'east', false, 1_200, 0],
      ['n-000004', 'small', 'west', false, 1_300, 0],
      ['n-000005', 'small', 'west', false, 1_400, 1],
      ['n-000006', 'small', 'west', false, 1_500, 1],
      ['n-000007', 'small', 'west', false, 1_600, 1],
      ['n-000008', 'small', 'west', false, 1_700, 1],
    ],
    scaleOuts: [['hire-1-41-1', 'large', 'west', true, 4, 1]],
    transferTargets: [
      ['n-000003', 'scale_in'],
      ['n-000004', 1],
      ['n-000005', 0],
    ],
  });
  ledger.apply(0, {
    sequence: 1,
    recordedAtMs: 3_000,
    statuses: [
      ['n-000001', 'up'],
      ['n-000002', 'up'],
    ],
    releases: [
      ['n-000003', [2, 17]],
      ['n-000004', null],
    ],
    starts: [
      {
        job: 'j-000001',
        team: 'blue',
        image: 'img-1',
        taskResources: [2, 0, 4],
        tasks: [
          [0, 'n-000001', 1],
          [1, 'n-000001', 1],
          [2, 'n-000002', 3],
        ],
      },
      {
        job: 'j-000002',
        team: 'green',
        image: 'img-2',
        taskResources: [1, 0.5, 1.25],
        gang: { attempt: 1_024, size: 2 },
        tasks: [
          [0, 'n-000001', 1],
          [1, 'n-000002', 3],
        ],
      },
    ],
    prices: { small: [0.25, 0, 0.5] },
  });
  ledger.apply(0, {
    sequence: 2,
    recordedAtMs: 4_000,
    completions: [
      ['j-000001', 0, 1_024, 'done'],
      ['j-000001', 1, 1_024, 'failed'],
    ],
  });
  ledger.apply(1, {
    sequence: 1,
    recordedAtMs: 4_500,
    acquisitions: ['n-000004'],
    statuses: [
      ['n-000005', 'unresponsive'],
      ['n-000006', 'reclaimed'],
      ['n-000007', 'quarantined'],
      ['n-000008', 'lost'],
    ],
  });
  return ledger;
}

const LARGE: MachineType = {
  name: 'large',
  cpus: 32,
  gpus: 4,
  memGb: 128,
  cacheGb: 200,
  fetchGbPerS: 0.5,
  price: 2.5,
  spotPrice: 0.75,
  bootS: 90,
  zones: ['east', 'west'],
};

type Writable<T> = { -readonly [K in keyof T]: T[K] };

/** Returns a replica that holds {@link sampleLedger}, two live jobs, two terminal jobs and a machine type. */
function sampleReplica(): Replica {
  const gang = sampleJob('j-000002', {
    team: 'green',
    shape: 'gang',
    rank: 'prod',
    taskCount: 2,
    gpus: 0.5,
    machineTypes: ['large'],
    zone: 'west',
    singleZone: true,
    deadlineS: 600,
  });
  // Created without the constructor: the test needs the methods of the class, but no state service to follow.
  const replica = Object.create(Replica.prototype) as Writable<Replica>;
  replica.ledger = sampleLedger();
  replica.appliedRevision = 431;
  replica.fencingToken = { value: 7, revision: 1 };
  replica.machineTypes = new Map([[LARGE.name, LARGE]]);
  replica.jobs = new Map([
    ['j-000001', { spec: sampleJob('j-000001'), acceptedAtMs: 900, acceptedRevision: 5 }],
    ['j-000002', { spec: gang, acceptedAtMs: 950, acceptedRevision: 6 }],
  ]);
  replica.terminalJobs = new Map([
    ['j-000003', { status: 'done', revision: 7 }],
    ['j-000004', { status: 'cancelled', revision: 8 }],
  ]);
  return replica as Replica;
}

const ORIGIN: SnapshotOrigin = {
  member: 'node-2',
  nodes: ['node-1', 'node-2'],
  takenAt: 1_700_000_000_123,
  dataLossState: null,
};

/** Serves two pages of terminal statuses; a page is requested by the last job id of the previous page. */
const fetchTerminalStatusPage: FetchTerminalStatusPage = (after) => {
  if (after === '') {
    return Promise.resolve([
      { id: 'j-000010', status: 'done' },
      { id: 'j-000011', status: 'cancelled' },
    ]);
  }
  return Promise.resolve(after === 'j-000011' ? [{ id: 'j-000012', status: 'done' }] : []);
};

async function writtenLines(origin: SnapshotOrigin, fetchPage: FetchTerminalStatusPage): Promise<string[]> {
  const lines: string[] = [];
  for await (const line of writeSnapshot(sampleReplica(), origin, fetchPage)) lines.push(line);
  return lines;
}

const HEADER =
  '{"kind":"header","format":"micaworks-snapshot","version":1,"member":"node-2","nodes":["node-1","node-2"],"takenAt":1700000000123,"loss":null,"epoch":431,"token":7,"positions":{"0":2,"1":1,"lead":1}}';

const BODY = [
  '{"kind":"type","type":{"name":"large","cpus":32,"gpus":4,"memGb":128,"cacheGb":200,"fetchGbPerS":0.5,"price":2.5,"spotPrice":0.75,"bootS":90,"zones":["east","west"]}}',
  '{"kind":"job","id":"j-000001","at":900,"spec":{"id":"j-000001","jobClass":"batch","team":"blue","shape":"array","rank":"normal","taskCount":3,"cpus":2,"gpus":0,"memGb":4,"image":"img-1","imageGb":1,"machineTypes":null,"zone":null,"singleZone":false,"spreadZones":false,"allowsSpot":true,"estimateS":10,"checkpointS":0,"saveS":0,"deadlineS":null}}',
  '{"kind":"job","id":"j-000002","at":950,"spec":{"id":"j-000002","jobClass":"batch","team":"green","shape":"gang","rank":"prod","taskCount":2,"cpus":2,"gpus":0.5,"memGb":4,"image":"img-1","imageGb":1,"machineTypes":["large"],"zone":"west","singleZone":true,"spreadZones":false,"allowsSpot":true,"estimateS":10,"checkpointS":0,"saveS":0,"deadlineS":600}}',
  '{"kind":"final","id":"j-000003","status":"done"}',
  '{"kind":"final","id":"j-000004","status":"cancelled"}',
  '{"kind":"ledger","row":["t",2500]}',
  '{"kind":"ledger","row":["n","img-1","img-2","small","east","large","west","blue","green"]}',
  '{"kind":"ledger","row":["h","n-000001",2,3,0,-1500,0,0,[0,1],0,null,null,1,4000]}',
  '{"kind":"ledger","row":["h","n-000002",4,5,1,0,0,0,[0,1]]}',
  '{"kind":"ledger","row":["h","n-000003",2,3,0,-1300,null,1,[],0,[2,17],"return"]}',
  '{"kind":"ledger","row":["h","n-000004",2,5,0,-1200,1,1,[],1]}',
  '{"kind":"ledger","row":["h","n-000005",2,5,0,-1100,1,2,[],0,null,0]}',
  '{"kind":"ledger","row":["h","n-000006",2,5,0,-1000,1,3]}',
  '{"kind":"ledger","row":["h","n-000007",2,5,0,-900,1,4]}',
  '{"kind":"ledger","row":["h","n-000008",2,5,0,-800,1,5]}',
  '{"kind":"ledger","row":["q",{"id":"hire-1-41-1","machineType":"large","zone":"west","spot":true,"number":4,"share":1,"at":1000}]}',
  '{"kind":"ledger","row":["p",0,"small",0.25,0,0.5]}',
  '{"kind":"ledger","row":["s","j-000001",6,500,1024,[2,0,4],[[2,1,3]]]}',
  '{"kind":"ledger","row":["d","j-000001","0"]}',
  '{"kind":"ledger","row":["s","j-000002",7,500,1024,[1,0.5,1.25],[[0,0,1],[1,1,3]],2]}',
  '{"kind":"final","id":"j-000010","status":"done"}',
  '{"kind":"final","id":"j-000011","status":"cancelled"}',
  '{"kind":"final","id":"j-000012","status":"done"}',
];

const TRAILER =
  '{"kind":"trailer","lines":24,"sha256":"5b5262c04ef1916e41c1b1d502abc5e4a7f38585b0bc872e59bc2c3d5d53a2d4","hasAllFinals":true}';

const ALL_LINES = [HEADER, ...BODY, TRAILER];

/** Fields of {@link SnapshotSummary} that `snapshot show --json` prints under another name, keyed by the field. */
const PRINTED_NAMES = new Map<string, string>([
  ['terminalStatuses', 'finals'],
  ['scaleOutRequests', 'rentals'],
  ['hasAllTerminalStatuses', 'hasAllFinals'],
] satisfies [keyof SnapshotSummary, string][]);

/** The result of {@link readSnapshot}, as `snapshot show --json` prints it. */
const SUMMARY =
  '{"header":{"kind":"header","format":"micaworks-snapshot","version":1,"member":"node-2","nodes":["node-1","node-2"],"takenAt":1700000000123,"loss":null,"epoch":431,"token":7,"positions":{"0":2,"1":1,"lead":1}},"jobs":2,"finals":5,"machines":8,"rentals":1,"tasks":3,"machineTypes":1,"lines":24,"hasAllFinals":true,"positions":{"0":2,"1":1,"lead":1}}';

function readBack(text: string, onLine?: (line: SnapshotLine) => void): ReturnType<typeof readSnapshot> {
  return readSnapshot(Readable.from([gzipSync(text)]), onLine);
}

test('writes the expected lines of a snapshot, to the byte', async () => {
  assert.deepEqual(
    await writtenLines(ORIGIN, fetchTerminalStatusPage),
    ALL_LINES.map((line) => `${line}\n`),
  );
});

test('writes the state of the data-loss detector to the header, and records missing terminal statuses in the trailer', async () => {
  const failingFetch: FetchTerminalStatusPage = () => Promise.reject(new Error('state service: 503'));
  const lines = await writtenLines({ ...ORIGIN, dataLossState: 'frozen' }, failingFetch);
  assert.equal(
    lines[0],
    '{"kind":"header","format":"micaworks-snapshot","version":1,"member":"node-2","nodes":["node-1","node-2"],"takenAt":1700000000123,"loss":"frozen","epoch":431,"token":7,"positions":{"0":2,"1":1,"lead":1}}\n',
  );
  assert.equal(
    lines.at(-1),
    '{"kind":"trailer","lines":21,"sha256":"f49c15a75d375f491b6b161f8fb95c8a9875643a067742661aa83efe0639502a","hasAllFinals":false}\n',
  );
  assert.deepEqual(
    lines.slice(1, -1),
    BODY.slice(0, -3).map((line) => `${line}\n`),
    'all lines except the terminal statuses of the failed pages',
  );
});

test('reads back the lines as they were written, and counts the objects in them', async () => {
  const lines: string[] = [];
  const summary = await readBack(ALL_LINES.map((line) => `${line}\n`).join(''), (line) =>
    lines.push(JSON.stringify(line)),
  );
  assert.deepEqual(lines, ALL_LINES.slice(0, -1));
  const printed = Object.entries(summary).map(([name, value]): [string, unknown] => [
    PRINTED_NAMES.get(name) ?? name,
    value,
  ]);
  assert.equal(JSON.stringify(Object.fromEntries(printed)), SUMMARY);
});

test('a ledger restored from the rows of a snapshot gives the same rows', async () => {
  const rows: Parameters<Ledger['restore']>[1][number][] = [];
  const { positions } = await readBack(ALL_LINES.map((line) => `${line}\n`).join(''), (line) => {
    if (line.kind === 'ledger') rows.push(line.row);
  });
  const restored = new Ledger();
  restored.restore(positions, rows);
  assert.deepEqual(restored.allPositions(), { '0': 2, '1': 1, lead: 1 });
  assert.deepEqual(
    encodeCheckpointRows(restored, () => true),
    encodeCheckpointRows(sampleLedger(), () => true),
  );
});

test('ignores unknown fields', async () => {
  const header = `${HEADER.slice(0, -1)},"later":1}\n`;
  const lines: string[] = [];
  const { createHash } = await import('node:crypto');
  const sha256 = createHash('sha256').update(header).digest('hex');
  const trailer = `{"kind":"trailer","lines":1,"sha256":"${sha256}","hasAllFinals":true,"later":2}\n`;
  const summary = await readBack(header + trailer, (line) => lines.push(line.kind));
  assert.deepEqual([lines, summary.lines, summary.header.epoch], [['header'], 1, 431]);
});

test('rejects a file that is not a complete snapshot with a message that names the fault', async () => {
  const header = `${HEADER}\n`;
  const completeText = ALL_LINES.map((line) => `${line}\n`).join('');
  const overlongLine = `"${'x'.repeat(MAX_LINE_BYTES)}`;
  const cases: [text: string, message: string][] = [
    ['', 'foreign: the file is empty, or its first line is incomplete'],
    ['no JSON\n', 'foreign: line 1 is not a JSON object with a kind'],
    ['{"kind":"job"}\n', 'foreign: the first line is not a header of the format micaworks-snapshot'],
    [
      '{"kind":"header","format":"other","version":1}\n',
      'foreign: the first line is not a header of the format micaworks-snapshot',
    ],
    [
      '{"kind":"header","format":"micaworks-snapshot","version":0}\n',
      'foreign: the header has the invalid version 0',
    ],
    [
      '{"kind":"header","format":"micaworks-snapshot","version":2}\n',
      'newer: the file has version 2, but this program supports only up to 1',
    ],
    [overlongLine, 'foreign: line 1 is longer than 1048576 bytes'],
    [header, 'truncated: the file ends after 1 lines, without a trailer'],
    [header + overlongLine, 'damaged: line 2 is longer than 1048576 bytes'],
    [`${header}nothing\n`, 'damaged: line 2 is not a JSON object with a kind'],
    [`${header}{"kind":"later"}\n`, 'damaged: line 2 has the unknown kind "later"'],
    [
      `${header}${TRAILER}\n`,
      'damaged: the line count or the checksum in the trailer does not match the lines',
    ],
    [`${completeText}${header}`, 'damaged: the file continues after its trailer'],
  ];
  for (const [text, message] of cases) {
    await assert.rejects(
      readBack(text),
      (cause) => cause instanceof SnapshotError && cause.message === message,
      message,
    );
  }
  const compressed = gzipSync(completeText);
  const damagedFiles: [bytes: Buffer, message: string][] = [
    [
      compressed.subarray(0, compressed.length - 20),
      'truncated: the compressed data ends before the end of the gzip stream',
    ],
    [Buffer.from('no gzip at all'), 'foreign: the file is not compressed with gzip'],
    [
      Buffer.concat([compressed.subarray(0, 30), Buffer.alloc(40, 0xff)]),
      'damaged: the compressed data is invalid',
    ],
  ];
  for (const [bytes, message] of damagedFiles) {
    await assert.rejects(
      readSnapshot(Readable.from([bytes])),
      (cause) => cause instanceof SnapshotError && cause.message === message,
      message,
    );
  }
});

test('identifies the format by its name and version, and limits the length of a line', () => {
  assert.deepEqual([SNAPSHOT_FORMAT, SNAPSHOT_VERSION, MAX_LINE_BYTES], ['micaworks-snapshot', 1, 1_048_576]);
});
