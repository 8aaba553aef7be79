/**
 * Takes out one guard of the duties at a time and demands that a test fails. Works on a copy of the compiled tree, so
 * nothing of the checkout changes; by command, not in CI:
 *
 *     node target/testkit/mutations.js [part of a name]
 */
import { spawnSync } from 'node:child_process';
import { cpSync, mkdtempSync, readFileSync, rmSync, symlinkSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

interface Mutation {
  /** The guard that is taken out. */
  name: string;
  file: string;
  from: string;
  to: string;
  /** Tests of which at least one has to fail. */
  tests: string[];
}

const PROPERTY = 'duties/duties.property.test.js';
const UNIT = 'duties/duties.test.js';
const RANDOM = 'testkit/duties.test.js';
const HARD = 'testkit/duty-hard-cases.test.js';
const FLEET = 'fleet/fleet-manager.test.js';
/** More random runs than CI plays, where a guard is met rarely. */
const ENVIRONMENT = { DUTIES_RUNS: '24' };

const MUTATIONS: Mutation[] = [
  {
    name: 'a commit carries a guard on the term of each duty',
    file: 'duties/fenced-store.js',
    from: '[...fences, ...guards]',
    to: '[...guards]',
    tests: [PROPERTY, RANDOM],
  },
  {
    name: 'nothing is asked of the cloud under a term that is over or in doubt',
    file: 'duties/fenced-cloud.js',
    from: 'return doubt === null;',
    to: 'return true;',
    tests: [PROPERTY],
  },
  {
    name: 'a proof stays bound to the term it was given out for',
    file: 'duties/term-proof.js',
    from: 'this.actingTerm() === this.term',
    to: 'this.actingTerm() !== null',
    tests: [PROPERTY],
  },
  {
    name: 'nothing is begun while a duty is handed over',
    file: 'duties/duty-state.js',
    from: "this.current = { name: 'resigning', since: now, holder: current.holder };",
    to: '',
    tests: [PROPERTY, UNIT],
  },
  {
    name: 'a machine is named for return before it is deleted',
    file: 'duties/intents.js',
    from: "if (machine.destination !== 'return')",
    to: 'if (false)',
    tests: [UNIT, RANDOM],
  },
  {
    name: 'a machine is let go by its owner before it is deleted',
    file: 'duties/intents.js',
    from: 'if (machine.share === null)',
    to: 'if (true)',
    tests: [UNIT, RANDOM],
  },
  {
    name: 'only a stopped machine is deleted without a record',
    file: 'duties/intents.js',
    from: "return state === 'failed' ?",
    to: 'return true ?',
    tests: [UNIT],
  },
  {
    name: 'a machine counts as gone only by a list asked for long after it was known',
    file: 'fleet/fleet-manager.js',
    from: 'return this.listedAt - (',
    to: 'return this.clock.now() - (',
    tests: [FLEET],
  },
  {
    name: 'rows of a record that landed unseen are not written again',
    file: 'fleet/fleet-manager.js',
    from: 'this.dropRecorded();',
    to: '',
    tests: [RANDOM],
  },
  {
    name: 'the name of a rental holds the term',
    file: 'fleet/fleet-manager.js',
    from: '-${term}-${++this.rentals}`',
    to: '-${this.pending.rentals.length}`',
    tests: [RANDOM, HARD],
  },
  {
    name: 'a rental is asked for only once it is in the ledger',
    file: 'fleet/fleet-manager.js',
    from: 'this.pending.rentals.push([rental, machineType, zone, spot, number, share]);',
    to: 'this.pending.rentals.push([rental, machineType, zone, spot, number, share]); void this.cloud.rent(this.proof, RentalIntent.fromRecord({ id: rental, machineType, zone, spot, number }));',
    tests: [RANDOM],
  },
  {
    name: 'ended jobs are put away, and checkpoints written, by the leader alone',
    file: 'cluster/writer.js',
    from: "this.store.commit([proof], 'put away ended jobs', guards, writes)",
    to: 'this.store.store.commit(guards, writes)',
    tests: [RANDOM],
  },
  {
    name: 'shares are handed over only where every node knows it',
    file: 'daemon/hand-over.js',
    from: "!replica.allSupport(allNodes, 'handover')",
    to: 'false',
    tests: [HARD],
  },
  {
    name: 'the row of a duty that can not be read closes it',
    file: 'cluster/replica.js',
    from: 'return { member: UNREADABLE, nonce: UNREADABLE, revision };',
    to: 'return { member: String(member), nonce: String(nonce), revision };',
    tests: [HARD],
  },
];

const checkout = fileURLToPath(new URL('../../', import.meta.url));

/** Whether one of the tests fails without the guard. */
function isCaught({ name, file, from, to, tests }: Mutation): boolean {
  const folder = mkdtempSync(join(tmpdir(), 'micaworks-mutation-'));
  try {
    for (const part of ['target', 'package.json', 'deploy']) {
      cpSync(join(checkout, part), join(folder, part), { recursive: true });
    }
    for (const part of ['node_modules', 'packages']) symlinkSync(join(checkout, part), join(folder, part));
    const path = join(folder, 'target', file);
    const text = readFileSync(path, 'utf8');
    if (!text.includes(from)) throw new Error(`${name}: ${file} has no such line any more`);
    writeFileSync(
      path,
      text.replace(from, () => to),
    );
    const files = tests.map((test) => join(folder, 'target', test));
    const options = { env: { ...process.env, ...ENVIRONMENT }, stdio: 'ignore' as const };
    return spawnSync(process.execPath, ['--test', ...files], options).status !== 0;
  } finally {
    rmSync(folder, { recursive: true, force: true });
  }
}

let missed = 0;
for (const mutation of MUTATIONS) {
  if (!mutation.name.includes(process.argv[2] ?? '')) continue;
  const caught = isCaught(mutation);
  if (!caught) missed++;
  process.stdout.write(`${caught ? 'caught' : 'MISSED'}: without "${mutation.name}"\n`);
}
process.exitCode = missed === 0 ? 0 : 1;
