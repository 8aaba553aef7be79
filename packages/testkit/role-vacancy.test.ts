/**
 * Measures how long leadership and shards are without a holder that can act, after the leader is suspended, crashes or
 * is partitioned from the state service.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { LEADER_KEY, SHARD_PREFIX } from '#cluster';
import { formatRoleName } from '#roles';
import { type WireFields, SECOND } from '#wire';
import { sampleJob } from './sample-job.js';
import { STATE_ENDPOINT } from './sample-settings.js';
import { SimCluster } from './sim-cluster.js';
import { type VacancyCause, VacancyMeter } from './vacancy-meter.js';

const RUNS = Number(process.env['VACANCY_RUNS'] ?? 4);
const CAUSES: VacancyCause[] = ['freeze', 'crash', 'cut'];
/** Duration of the fault: longer than the lease of a node, so that the role holder is replaced. */
const FAULT_DURATION = 12 * SECOND;
/**
 * Upper bounds in milliseconds. Leases last 3 s and may expire 100 ms late; the rest is the time for the election and,
 * for shards, the assignment after it.
 */
const MAX_LEADER_VACANCY_MS = 4_500;
const MAX_SHARD_VACANCY_MS = 6_500;

/** Returns the index of the node that holds the role with the given key. */
function holderOf(cluster: SimCluster, key: string): number {
  return Number(String(cluster.store.rows.get(key)?.value['Member']).slice('node-'.length));
}

/** Causes the fault in the leader of a new cluster, and records the vacancies of its roles. */
async function replaceLeader(seed: number, cause: VacancyCause, meter: VacancyMeter): Promise<void> {
  const cluster = new SimCluster({ seed });
  const { clock, store, net } = cluster;
  cluster.submit(sampleJob('j-1', { taskCount: 6, estimateS: 60 }));
  await cluster.run((20 + cluster.random() * 5) * SECOND);
  const leader = holderOf(cluster, LEADER_KEY);
  const { afterApply } = store;
  store.afterApply = (writes: WireFields[]) => {
    afterApply(writes);
    for (const { Set: key } of writes) {
      if (key === LEADER_KEY) meter.vacancyEnded('lead', clock.time);
      else if (String(key).startsWith(SHARD_PREFIX)) {
        meter.vacancyEnded(formatRoleName(Number(String(key).slice(SHARD_PREFIX.length))), clock.time);
      }
    }
  };
  meter.vacancyBegan('lead', cause, clock.time);
  for (let shard = 0; shard < cluster.nodeCount; shard++) {
    if (holderOf(cluster, SHARD_PREFIX + String(shard)) === leader) {
      meter.vacancyBegan(formatRoleName(shard), cause, clock.time);
    }
  }
  const link = `node-${leader}>${STATE_ENDPOINT}`;
  if (cause === 'freeze') cluster.suspendNode(leader, FAULT_DURATION);
  else if (cause === 'crash') cluster.killNode(leader);
  else net.refusedLinks.add(link);
  await cluster.run(FAULT_DURATION);
  net.refusedLinks.delete(link);
  cluster.startNode(leader);
  await cluster.run(10 * SECOND);
}

test('a role is vacant for little longer than its lease after any fault of its holder', async (t) => {
  const meter = new VacancyMeter();
  for (let seed = 1; seed <= RUNS; seed++) {
    for (const cause of CAUSES) await replaceLeader(400 + seed, cause, meter);
  }
  for (const line of meter.report()) t.diagnostic(line);
  assert.ok(meter.count >= 2 * RUNS * CAUSES.length, `only ${meter.count} vacancies`);
  assert.ok(meter.longest('lead') <= MAX_LEADER_VACANCY_MS, `${meter.longest('lead')} ms without a leader`);
  assert.ok(meter.longest('shard') <= MAX_SHARD_VACANCY_MS, `${meter.longest('shard')} ms without an owner`);
});
