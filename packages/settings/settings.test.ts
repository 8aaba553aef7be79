/** Tests of the rules by which settings files are parsed, and of the operators' files under deploy. */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { SECOND } from '#wire';
import { parseSettings, parseTuning, SettingsError, defaultTuning } from './index.js';

const TOML = `
member = "hive-0"
domain = "almaty"
bind = "10.0.0.1:8080"
cluster_listen = "10.0.0.1:8081"
new_field = true
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

test('times are converted to microseconds and sizes to bytes, and unknown fields are ignored', () => {
  const settings = parseSettings(TOML);
  assert.equal(settings.workerLease, 22 * SECOND);
  assert.equal(settings.valueBytes, 4096);
  assert.deepEqual(settings.teams[0], { name: 'pricing', cpus: 32, cpusMax: 104, gpus: 0, gpusMax: 0 });
});

test('the times of gangs have defaults, and the error for an invalid value names the field', () => {
  const settings = parseSettings(TOML);
  assert.equal(settings.gangWait, 50 * SECOND);
  assert.equal(settings.gangPeer, 5 * SECOND);
  const gangs = parseSettings(TOML.replace('cancel_s', 'gang_wait_s = 45.0\ngang_peer_s = 4.0\ncancel_s'));
  assert.equal(gangs.gangWait, 45 * SECOND);
  assert.equal(gangs.gangPeer, 4 * SECOND);
  const invalidLines: [string, RegExp][] = [
    ['gang_wait_s = 0.0', /^facts\.workers\.gang_wait_s: /],
    ['gang_peer_s = "soon"', /^facts\.workers\.gang_peer_s: /],
  ];
  for (const [line, message] of invalidLines) {
    const toml = TOML.replace('cancel_s', `${line}\ncancel_s`);
    assert.throws(
      () => parseSettings(toml),
      (cause) => cause instanceof SettingsError && message.test(cause.message),
    );
  }
});

test('the lower of the current and the announced limit of the state service applies', () => {
  const withAnnounced = (lines: string): string =>
    TOML.replace('[facts.cloud]', `[facts.state.next]\n${lines}\n[facts.cloud]`);
  const settings = parseSettings(withAnnounced('value_kb = 2.0\ntxn_ops = 16\nwrite_rps = 18.0'));
  assert.equal(settings.valueBytes, 2048);
  assert.equal(settings.txnOps, 8);
  assert.equal(settings.stateWriteRps, 18);
  assert.equal(settings.stateRps, 80);
  for (const line of ['txn_ops = 0', 'txn_ops = 1.5', 'value_kb = -1.0', 'write_rps = true']) {
    const field = line.split(' ')[0] ?? '';
    assert.throws(
      () => parseSettings(withAnnounced(line)),
      (cause) => cause instanceof SettingsError && cause.message.startsWith(`facts.state.next.${field}: `),
    );
  }
});

test('a guest team has neither a guarantee nor a limit', () => {
  const guest = TOML.replace('cpus = 32.0\ncpus_max = 104.0', 'cpus = 0.0\ncpus_max = 0.0');
  const none = { cpus: 0, cpusMax: Infinity, gpus: 0, gpusMax: Infinity };
  assert.deepEqual(parseSettings(guest).teams[0], { name: 'pricing', ...none });
});

test('the error for a missing or invalid field names the field on one line', () => {
  const cases: [RegExp, string, string][] = [
    [/facts\.workers\.lease_s/, 'lease_s = 22.0', 'lease_s = "long"'],
    [/facts\.state\.txn_ops/, 'txn_ops = 8', ''],
    [/^bind/, 'bind = "10.0.0.1:8080"', ''],
    [/not TOML/, '[facts]', '[facts'],
  ];
  for (const [name, from, to] of cases) {
    assert.throws(
      () => parseSettings(TOML.replace(from, to)),
      (e: unknown) => {
        return e instanceof SettingsError && name.test(e.message) && !e.message.includes('\n');
      },
    );
  }
});

test("the operators' example file yields the defaults", async () => {
  const example = readFileSync(new URL('../../deploy/operator.example.xml', import.meta.url), 'utf8');
  assert.deepEqual(await parseTuning(example), defaultTuning());
});

test("an invalid value in the operators' file is named in the error, and unknown elements are ignored", async () => {
  const parsePasses = (text: string) =>
    parseTuning(`<micaworks><pricing><passes>${text}</passes></pricing></micaworks>`);
  assert.equal((await parsePasses('12')).passes, 12);
  for (const invalid of ['0', '1.5', 'many', '']) {
    await assert.rejects(
      parsePasses(invalid),
      (cause: unknown) => cause instanceof SettingsError && cause.message.includes('pricing/passes'),
    );
  }
  await assert.rejects(parseTuning('<micaworks><pricing>'), SettingsError);
  await assert.rejects(parseTuning('<other/>'), /micaworks/);
  assert.deepEqual(await parseTuning('<micaworks><later>1</later></micaworks>'), defaultTuning());
});

test('optional features are off by default, and the files under deploy enable them', async () => {
  const read = (name: string): string =>
    readFileSync(new URL(`../../deploy/${name}`, import.meta.url), 'utf8');
  const { operatorListen, handsOffOnStop, detectsDataLoss } = defaultTuning();
  assert.deepEqual([operatorListen, handsOffOnStop, detectsDataLoss], [null, false, false]);
  const roles = await parseTuning(read('operator.listener.xml'));
  assert.deepEqual([roles.operatorListen, roles.handsOffOnStop], ['127.0.0.1:7070', true]);
  const recovery = await parseTuning(read('operator.recovery.xml'));
  assert.deepEqual([recovery.operatorListen, recovery.detectsDataLoss], ['127.0.0.1:7070', true]);
  const invalidFlag = '<micaworks><recovery><noticeLoss>yes</noticeLoss></recovery></micaworks>';
  await assert.rejects(parseTuning(invalidFlag), /recovery\/noticeLoss: must be true or false/);
});
