import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { CloudClient } from '#cloud';
import { type MachineRow, Ledger } from '#cluster';
import { RoleRegistry, FencedCloud } from '#roles';
import { SimClock } from '#testkit';
import { type ListedMachine, type Micros, SECOND } from '#wire';
import { FleetManager } from './fleet-manager.js';

const SILENT = { debug: () => undefined, info: () => undefined, error: () => undefined };
const LIST_LAG = 3 * SECOND;
/** By then the list shows every machine that was there when it was asked for, and the manager counts on that. */
const LONG_LISTED: Micros = 2 * LIST_LAG + 12 * SECOND;

/** A fleet manager under a term of its own, over a cloud whose list can be taken away. */
class Fleet {
  readonly clock = new SimClock();
  readonly ledger = new Ledger();
  listed: ListedMachine[] | null = [];
  deleted: string[] = [];
  readonly manager: FleetManager;
  private records = 0;

  constructor() {
    const clock = this.clock.view((step) => step(), 0, 0);
    const holder = { member: 'node-0', nonce: 'ours', term: 1 };
    const source = { holders: () => new Map([['lead' as const, holder]]), isOurs: () => true };
    const registry = new RoleRegistry({ source, clock, keyOf: () => 'lead', leaseLife: 3600 * SECOND });
    registry.onLeaseRenewed(clock.now());
    const cloud = {
      listMachines: () => Promise.resolve(this.listed),
      deleteMachines: (hosts: string[]) => {
        this.deleted.push(...hosts);
        return Promise.resolve(true);
      },
    } as unknown as CloudClient;
    const facts = {
      ...{
        ledger: this.ledger,
        machineTypes: new Map(),
        workerLease: 3600 * SECOND,
        machineListLag: LIST_LAG,
      },
      ...{ shardForZone: () => 0, isInWarmPool: () => false, isPartitioned: () => false },
    };
    this.manager = new FleetManager(
      ...([new FencedCloud(cloud, registry), clock, () => facts, SILENT, () => undefined] as const),
    );
    const termProof = registry.proveHeld('lead');
    assert.ok(termProof);
    this.manager.beginTerm(termProof);
  }

  /** Plays steps for so long, and records what the manager wants recorded. */
  async play(duration: Micros): Promise<void> {
    for (const end = this.clock.time + duration; this.clock.time < end;) {
      this.manager.step([]);
      await this.clock.run(this.clock.time + SECOND, () => undefined);
      const draft = this.manager.draft();
      if (!Object.values(draft).some((rows) => Array.isArray(rows) && rows.length > 0)) continue;
      this.ledger.apply('lead', { ...draft, sequence: ++this.records, recordedAtMs: 0 });
      this.manager.onRecordCommitted(draft);
    }
  }

  rent(host: string): void {
    const row: MachineRow = [host, 'small', 'east', false, 0, 0];
    this.ledger.apply('lead', { sequence: ++this.records, recordedAtMs: 0, machines: [row] });
  }

  destination(host: string): unknown {
    return this.ledger.machines.get(host)?.destination;
  }
}

// A young machine was deleted with its tasks while the cloud was out: the list was from before its rental.
test('a list that is older than a machine does not say that the machine is gone', async () => {
  const fleet = new Fleet();
  await fleet.play(5 * SECOND);
  fleet.listed = null;
  fleet.rent('n-1');
  await fleet.play(LONG_LISTED);
  assert.equal(fleet.destination('n-1'), null);
  assert.deepEqual(fleet.deleted, []);
  // A list that was asked for long after shows it missing: then it is gone.
  fleet.listed = [];
  await fleet.play(10 * SECOND);
  assert.deepEqual(fleet.deleted, ['n-1']);
});

test('a machine that the list should show is named for return in one record, and deleted after it', async () => {
  const fleet = new Fleet();
  fleet.rent('n-1');
  await fleet.play(LONG_LISTED + 10 * SECOND);
  assert.equal(fleet.ledger.machines.has('n-1'), false);
  assert.deepEqual(fleet.deleted, ['n-1'], 'deleted once');
});

test('a machine that stopped by itself and is in no record is deleted, one that works is adopted', async () => {
  const fleet = new Fleet();
  const row = { address: '', machineType: 'small', zone: 'east', spot: false, ageS: 30 };
  fleet.listed = [
    { ...row, host: 'n-1', state: 'failed' },
    { ...row, host: 'n-2', state: 'running' },
  ];
  await fleet.play(10 * SECOND);
  assert.deepEqual([...new Set(fleet.deleted)], ['n-1']);
  assert.equal(fleet.destination('n-2'), null);
});
