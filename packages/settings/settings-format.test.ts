/**
 * Golden tests of every field of the platform's file and the operators' file: name, range, default and error message.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SECOND } from '#wire';
import {
  TUNING_PARAMETERS,
  loadSettings,
  loadTuning,
  parseSettings,
  parseTuning,
  type Settings,
  SettingsError,
  defaultTuning,
  type Tuning,
} from './index.js';

/** A platform's file that sets every field, each to a distinctive value. */
const FULL = `
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
time_bound_ms = 25.0
[[facts.teams]]
name = "pricing"
cpus = 32.0
cpus_max = 104.0
gpus = 2.0
gpus_max = 8.0
[[facts.objectives]]
kind = "start"
class = "quotes"
within_s = 90.0
share = 0.95
[facts.workers]
report_s = 3.0
lease_s = 22.0
cancel_s = 47.0
gang_wait_s = 45.0
gang_peer_s = 4.0
[facts.state]
rps = 80.0
write_rps = 25.0
value_kb = 4.0
txn_ops = 8
[facts.state.next]
rps = 70.0
write_rps = 20.0
value_kb = 2.0
txn_ops = 6
[facts.cloud]
rps = 10.0
list_lag_s = 6.0
[facts.machine_limits]
cpu = 0.255
mem_mb = 306.0
sockets = 2500
`;

const FULL_SETTINGS: Settings = {
  member: 'hive-0',
  domain: 'almaty',
  bind: '10.0.0.1:8080',
  clusterListen: '10.0.0.1:8081',
  peers: [{ member: 'hive-1', domain: 'astana', endpoint: '10.0.0.2:8081' }],
  cloud: '10.2.0.2:8443',
  state: '10.2.0.1:2379',
  initialSize: 3,
  zones: ['almaty', 'astana'],
  timeBound: 25_000,
  teams: [{ name: 'pricing', cpus: 32, cpusMax: 104, gpus: 2, gpusMax: 8 }],
  objectives: [{ kind: 'start', jobClass: 'quotes', within: 90 * SECOND }],
  heartbeatInterval: 3 * SECOND,
  workerLease: 22 * SECOND,
  cancellationDeadline: 47 * SECOND,
  gangWait: 45 * SECOND,
  gangPeer: 4 * SECOND,
  stateRps: 70,
  stateWriteRps: 20,
  valueBytes: 2048,
  txnOps: 6,
  cloudRps: 10,
  machineListLag: 6 * SECOND,
  sockets: 2500,
};

/** The same file without its optional fields. */
const MINIMAL = FULL.replace(/\[\[peers\]\][^[]*/, '')
  .replace(/\[\[facts\.objectives\]\][^[]*/, '')
  .replace(/\[facts\.state\.next\][^[]*/, '')
  .replace(/^(time_bound_ms|gpus|gpus_max|gang_wait_s|gang_peer_s) = .*\n/gm, '');

/** Returns the error message for a platform's file; `taken` if the file is valid. */
function errorOf(toml: string): string {
  try {
    parseSettings(toml);
  } catch (cause) {
    assert.ok(cause instanceof SettingsError);
    return cause.message;
  }
  return 'taken';
}

test("parses every field of the platform's file", () => {
  assert.deepEqual(parseSettings(FULL), FULL_SETTINGS);
});

test("optional fields of the platform's file have defaults", () => {
  assert.deepEqual(parseSettings(MINIMAL), {
    ...FULL_SETTINGS,
    peers: [],
    timeBound: 100_000,
    teams: [{ name: 'pricing', cpus: 32, cpusMax: 104, gpus: 0, gpusMax: 0 }],
    objectives: [],
    gangWait: 50 * SECOND,
    gangPeer: 5 * SECOND,
    stateRps: 80,
    stateWriteRps: 25,
    valueBytes: 4096,
    txnOps: 8,
  });
  const objective = MINIMAL.replace(
    '[facts.workers]',
    '[[facts.objectives]]\nkind = "start"\n[facts.workers]',
  );
  assert.deepEqual(parseSettings(objective).objectives, [{ kind: 'start', jobClass: null, within: null }]);
});

test("the error for a missing field of the platform's file names the field", () => {
  const fields = [
    'member',
    'domain',
    'bind',
    'cluster_listen',
    'cloud',
    'state',
    'initial_size',
    'zones',
    'name',
    'cpus',
    'cpus_max',
    'report_s',
    'lease_s',
    'cancel_s',
    'write_rps',
    'value_kb',
    'txn_ops',
    'list_lag_s',
    'cpu',
    'mem_mb',
    'sockets',
  ];
  const errors = fields.map((field) => errorOf(MINIMAL.replace(new RegExp(`^${field} = .*\n`, 'm'), '')));
  assert.deepEqual(errors, [
    'member: Invalid input',
    'domain: Invalid input',
    'bind: Invalid input',
    'cluster_listen: Invalid input',
    'endpoints.cloud: Invalid input',
    'endpoints.state: Invalid input',
    'facts.initial_size: Invalid input',
    'facts.zones: Invalid input',
    'facts.teams.0.name: Invalid input',
    'facts.teams.0.cpus: Invalid input',
    'facts.teams.0.cpus_max: Invalid input',
    'facts.workers.report_s: Invalid input',
    'facts.workers.lease_s: Invalid input',
    'facts.workers.cancel_s: Invalid input',
    'facts.state.write_rps: Invalid input',
    'facts.state.value_kb: Invalid input',
    'facts.state.txn_ops: Invalid input',
    'facts.cloud.list_lag_s: Invalid input',
    'facts.machine_limits.cpu: Invalid input',
    'facts.machine_limits.mem_mb: Invalid input',
    'facts.machine_limits.sockets: Invalid input',
  ]);
  const sections = ['endpoints', 'facts.workers', 'facts.state', 'facts.cloud', 'facts.machine_limits'];
  const without = (section: string): string =>
    MINIMAL.replace(new RegExp(`\\[${section.replaceAll('.', '\\.')}\\][^[]*`), '');
  assert.deepEqual(
    sections.map((section) => errorOf(without(section))),
    [
      'endpoints: Invalid input',
      'facts.workers: Invalid input',
      'facts.state: Invalid input',
      'facts.cloud: Invalid input',
      'facts.machine_limits: Invalid input',
    ],
  );
  assert.equal(errorOf('member = "hive-0"'), 'domain: Invalid input');
  assert.equal(errorOf(MINIMAL.replace(/\[\[facts\.teams\]\][^[]*/, '')), 'facts.teams: Invalid input');
  assert.equal(
    errorOf('[facts'),
    'not TOML: Error: Invalid TOML document: incomplete key-value: cannot find end of key',
  );
});

test("the error for an invalid value in the platform's file names the field", () => {
  const values: [field: string, value: string][] = [
    ['member', '1'],
    ['member', '""'],
    ['domain', '""'],
    ['bind', '""'],
    ['cluster_listen', '""'],
    ['endpoint', '""'],
    ['cloud', '7'],
    ['initial_size', '0'],
    ['initial_size', '1.5'],
    ['initial_size', '"many"'],
    ['zones', '[]'],
    ['zones', '[""]'],
    ['zones', '"east"'],
    ['time_bound_ms', '-1.0'],
    ['name', '""'],
    ['cpus', '-1.0'],
    ['cpus_max', '"all"'],
    ['gpus', '-1.0'],
    ['gpus_max', '-1.0'],
    ['kind', '""'],
    ['class', '7'],
    ['within_s', '0.0'],
    ['share', '-0.5'],
    ['report_s', '0.0'],
    ['lease_s', '-1.0'],
    ['cancel_s', '"long"'],
    ['gang_wait_s', '0.0'],
    ['gang_peer_s', '"soon"'],
    ['write_rps', '0.0'],
    ['value_kb', '-1.0'],
    ['txn_ops', '0'],
    ['list_lag_s', '-1.0'],
    ['cpu', '0.0'],
    ['mem_mb', '0.0'],
    ['sockets', '0'],
  ];
  const errors = values.map(([field, value]) =>
    errorOf(FULL.replace(new RegExp(`^${field} = .*`, 'm'), `${field} = ${value}`)),
  );
  assert.deepEqual(errors, [
    'member: Invalid input',
    'member: Invalid input',
    'domain: Invalid input',
    'bind: Invalid input',
    'cluster_listen: Invalid input',
    'peers.0.endpoint: Invalid input',
    'endpoints.cloud: Invalid input',
    'facts.initial_size: Invalid input',
    'facts.initial_size: Invalid input',
    'facts.initial_size: Invalid input',
    'facts.zones: Invalid input',
    'facts.zones.0: Invalid input',
    'facts.zones: Invalid input',
    'facts.time_bound_ms: Invalid input',
    'facts.teams.0.name: Invalid input',
    'facts.teams.0.cpus: Invalid input',
    'facts.teams.0.cpus_max: Invalid input',
    'facts.teams.0.gpus: Invalid input',
    'facts.teams.0.gpus_max: Invalid input',
    'facts.objectives.0.kind: Invalid input',
    'facts.objectives.0.class: Invalid input',
    'facts.objectives.0.within_s: Invalid input',
    'facts.objectives.0.share: Invalid input',
    'facts.workers.report_s: Invalid input',
    'facts.workers.lease_s: Invalid input',
    'facts.workers.cancel_s: Invalid input',
    'facts.workers.gang_wait_s: Invalid input',
    'facts.workers.gang_peer_s: Invalid input',
    'facts.state.write_rps: Invalid input',
    'facts.state.value_kb: Invalid input',
    'facts.state.txn_ops: Invalid input',
    'facts.cloud.list_lag_s: Invalid input',
    'facts.machine_limits.cpu: Invalid input',
    'facts.machine_limits.mem_mb: Invalid input',
    'facts.machine_limits.sockets: Invalid input',
  ]);
});

test('the limits of the state service and of the cloud must be positive', () => {
  for (const [limit, name] of [
    ['rps = 80.0', 'facts.state.rps'],
    ['rps = 10.0', 'facts.cloud.rps'],
    ['rps = 70.0', 'facts.state.next.rps'],
    ['write_rps = 20.0', 'facts.state.next.write_rps'],
    ['value_kb = 2.0', 'facts.state.next.value_kb'],
    ['txn_ops = 6', 'facts.state.next.txn_ops'],
  ] as const) {
    const field = limit.split(' ')[0] ?? '';
    assert.equal(errorOf(FULL.replace(limit, `${field} = 0`)), `${name}: Invalid input`);
  }
});

test('accepts the minimum of each field', () => {
  const values: [field: string, value: string][] = [
    ['initial_size', '1'],
    ['initial_size', '"4"'],
    ['time_bound_ms', '0.0'],
    ['cpus', '0.0'],
    ['share', '0.0'],
    ['list_lag_s', '0.0'],
    ['txn_ops', '1'],
    ['sockets', '1'],
  ];
  for (const [field, value] of values) {
    const toml = FULL.replace(new RegExp(`^${field} = .*`, 'm'), `${field} = ${value}`);
    assert.equal(errorOf(toml), 'taken', `${field} = ${value}`);
  }
});

/** Every element that holds a number, its range, and true if the number must be whole. */
const NUMBER_ELEMENTS: readonly [path: string, minimum: number, maximum: number, isInteger: boolean][] = [
  ['round/gapMs', 20, 5000, false],
  ['round/idleMs', 100, 10_000, false],
  ['pricing/passes', 1, 1000, true],
  ['pricing/step', 0.001, 10, false],
  ['pricing/gpuShapeCost', 0, 10, false],
  ['pricing/gpuTaskWeight', 0, 10, false],
  ['pricing/guaranteeWeight', 0, 10, false],
  ['pricing/waitDoublesS', 1, 86_400, false],
  ['placement/choices', 1, 64, true],
];

/** Returns an operators' file with one element. */
function tuningFile(path: string, text: string): string {
  const [section, name] = path.split('/');
  return `<micaworks><${section}><${name}>${text}</${name}></${section}></micaworks>`;
}

/** Returns the error message for an operators' file; `taken` if the file is valid. */
async function tuningErrorOf(xml: string): Promise<string> {
  try {
    await parseTuning(xml);
  } catch (cause) {
    assert.ok(cause instanceof SettingsError);
    return cause.message;
  }
  return 'taken';
}

test("numbers in the operators' file are accepted only within their ranges", async () => {
  assert.deepEqual(
    TUNING_PARAMETERS.map(({ path }) => path),
    NUMBER_ELEMENTS.map(([path]) => path),
  );
  for (const [path, minimum, maximum, isInteger] of NUMBER_ELEMENTS) {
    const kind = isInteger ? 'a whole number' : 'a number';
    const message = `operators' file: ${path}: must be ${kind} from ${minimum} to ${maximum}`;
    const outOfRange = isInteger ? [minimum - 1, maximum + 1] : [minimum - 0.001, maximum + 0.001];
    for (const value of [...outOfRange.map(String), 'many', '', ' ', 'NaN', '<more>1</more>']) {
      assert.equal(await tuningErrorOf(tuningFile(path, value)), message, value);
    }
    if (isInteger) assert.equal(await tuningErrorOf(tuningFile(path, `${minimum}.5`)), message);
    for (const value of [String(minimum), String(maximum), ` ${maximum} `]) {
      assert.equal(await tuningErrorOf(tuningFile(path, value)), 'taken', value);
    }
  }
});

test("each element of the operators' file sets only its own field", async () => {
  const cases: [path: string, text: string, change: Partial<Tuning>][] = [
    ['round/gapMs', '20.5', { roundGap: 20_500 }],
    ['round/idleMs', '100', { roundIdle: 100_000 }],
    ['pricing/passes', '2', { passes: 2 }],
    ['pricing/step', '0.25', { step: 0.25 }],
    ['pricing/gpuShapeCost', '1', { gpuShapeCost: 1 }],
    ['pricing/gpuTaskWeight', '2', { gpuTaskWeight: 2 }],
    ['pricing/guaranteeWeight', '3', { guaranteeWeight: 3 }],
    ['pricing/waitDoublesS', '1.5', { priorityDoublingTime: 1.5 * SECOND }],
    ['placement/choices', '64', { choices: 64 }],
    ['operations/listen', ' 127.0.0.1:07070 ', { operatorListen: '127.0.0.1:7070' }],
    ['operations/handOverOnStop', 'true', { handsOffOnStop: true }],
    ['operations/handOverOnStop', 'false', {}],
    ['recovery/noticeLoss', 'true', { detectsDataLoss: true }],
    ['recovery/noticeLoss', 'false', {}],
    ['round/later', '7', {}],
    ['later/gapMs', '7', {}],
  ];
  for (const [path, text, change] of cases) {
    assert.deepEqual(await parseTuning(tuningFile(path, text)), { ...defaultTuning(), ...change }, path);
  }
});

test("without an operators' file the documented defaults apply", () => {
  const expected: Tuning = {
    operatorListen: null,
    handsOffOnStop: false,
    detectsDataLoss: false,
    roundGap: 250_000,
    roundIdle: SECOND,
    passes: 30,
    step: 0.1,
    gpuShapeCost: 0.5,
    gpuTaskWeight: 0.5,
    guaranteeWeight: 0.5,
    priorityDoublingTime: 60 * SECOND,
    choices: 6,
  };
  assert.deepEqual(defaultTuning(), expected);
});

test("the error for an invalid operators' file names the element or the line", async () => {
  for (const address of [
    'nowhere',
    '127.0.0.1',
    '127.0.0.1:0',
    '127.0.0.1:65536',
    '999.0.0.1:80',
    '',
    'localhost:80',
  ]) {
    assert.equal(
      await tuningErrorOf(tuningFile('operations/listen', address)),
      "operators' file: operations/listen: must be an IPv4 address and a port, such as 127.0.0.1:7070",
      address,
    );
  }
  for (const path of ['operations/handOverOnStop', 'recovery/noticeLoss']) {
    for (const text of ['yes', 'TRUE', '1', '']) {
      const message = `operators' file: ${path}: must be true or false`;
      assert.equal(await tuningErrorOf(tuningFile(path, text)), message, text);
    }
  }
  assert.equal(
    await tuningErrorOf('<micaworks><round>'),
    'operators\' file, line 1: Invalid \'[    "micaworks",    "round"]\' found.',
  );
  assert.equal(
    await tuningErrorOf('<micaworks>\n<round></micaworks>'),
    "operators' file, line 2: Expected closing tag 'round' (opened in line 2, col 1) instead of closing tag 'micaworks'.",
  );
  assert.equal(await tuningErrorOf('<other/>'), "operators' file: micaworks: the root element is missing");
  assert.equal(await tuningErrorOf(''), "operators' file, line 1: Start tag expected.");
});

test('the error for an unreadable file names the file and the reason', async () => {
  const missing = '/nowhere/settings';
  const message = `${missing}: ENOENT: no such file or directory, open '${missing}'`;
  assert.throws(
    () => loadSettings(missing),
    (cause) => cause instanceof SettingsError && cause.message === message,
  );
  await assert.rejects(
    loadTuning(missing),
    (cause) => cause instanceof SettingsError && cause.message === message,
  );
});
