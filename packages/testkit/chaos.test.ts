import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SECOND } from '#wire';
import type { Rank, Submission } from '#wire';
import { sampleJob } from './rules.js';
import { SimWorld } from './sim-world.js';

const RANKS: Rank[] = ['best_effort', 'normal', 'urgent', 'prod'];

function pick<T>(random: () => number, items: readonly T[]): T {
  return items[Math.floor(random() * items.length)] as T;
}

function randomJob(random: () => number, n: number): Submission {
  const pieces = 1 + Math.floor(random() * 6);
  return sampleJob(`j-${String(n).padStart(6, '0')}`, {
    Crew: pick(random, ['blue', 'green']),
    Rank: pick(random, RANKS),
    Pieces: pieces,
    Cpus: pick(random, [1, 2, 4]),
    MemGb: pick(random, [1, 4, 14]),
    Bundle: pick(random, ['img-1', 'img-2']),
    Builds: random() < 0.2 ? ['large'] : null,
    Hall: random() < 0.15 ? pick(random, ['east', 'west']) : null,
    SamePlace: random() < 0.2,
    Scatter: random() < 0.2,
    Loaners: random() < 0.7,
    ExpectS: 2 + random() * 12,
    BookmarkS: random() < 0.3 ? 3 : 0,
    StashS: 1,
  });
}

/** One thing that goes wrong for a while, chosen at random. */
function trouble(world: SimWorld): void {
  const { random, clock } = world;
  const during = (seconds: number, on: () => void, off: () => void): void => {
    on();
    clock.at(seconds * SECOND, off);
  };
  const node = Math.floor(random() * world.nodeCount);
  const restart = (i: number, after: number): void => {
    during(
      after,
      () => {
        world.killNode(i);
      },
      () => {
        world.startNode(i);
      },
    );
  };
  const worker = [...world.workers.values()][Math.floor(random() * world.workers.size)];
  const host = worker && world.cloud.hosts.get(worker.machine.host);
  const { store, net, cloud } = world;
  const kinds: (() => void)[] = [
    () => {
      restart(node, 0.2 + random() * 5);
    },
    () => {
      for (let i = 0; i < world.nodeCount; i++) restart(i, 1 + random() * 6);
    },
    () => {
      const set = (on: boolean) => () => {
        store.setOutage(on);
      };
      during(3 + random() * 25, set(true), set(false));
    },
    () => {
      const name = `node-${node}`;
      during(
        3 + random() * 25,
        () => store.shunned.add(name),
        () => store.shunned.delete(name),
      );
    },
    () => {
      const set = (on: boolean) => () => {
        net.cut('east', 'west', on);
      };
      during(3 + random() * 30, set(true), set(false));
    },
    () => {
      during(
        5 + random() * 10,
        () => (net.weather = { trouble: 0.3, hold: 20 * SECOND }),
        () => (net.weather = { trouble: 0, hold: 0 }),
      );
    },
    () => {
      const set = (on: boolean) => () => {
        cloud.outage = on;
      };
      during(3 + random() * 20, set(true), set(false));
    },
    () => {
      if (host) cloud.die(host);
    },
    () => {
      if (!host || !worker) return;
      worker.recallS = 4;
      clock.at(4 * SECOND, () => {
        if (cloud.hosts.get(host.host) === host) cloud.reclaim(host);
      });
    },
    () => {
      if (worker) {
        during(
          2 + random() * 20,
          () => (worker.hanging = true),
          () => (worker.hanging = false),
        );
      }
    },
  ];
  pick(random, kinds)();
}

async function chaos(seed: number): Promise<SimWorld> {
  const say = (fields: object, text: string): void => {
    process.stderr.write(`${(world.clock.time / SECOND).toFixed(3)} ${text} ${JSON.stringify(fields)}\n`);
  };
  const log = process.env['CHAOS_LOG'] === undefined ? undefined : { debug: say, info: say, error: say };
  const world = new SimWorld({ seed, ...(log ? { log } : {}) });
  const { random, clock } = world;
  let jobs = 0;
  const arrive = (): void => {
    if (clock.time > 150 * SECOND) return;
    world.submit(randomJob(random, jobs++), random() < 0.2 ? random() * 20 * SECOND : null);
    clock.at(random() * 8 * SECOND, arrive);
  };
  const harm = (): void => {
    if (clock.time > 160 * SECOND) return;
    trouble(world);
    clock.at((2 + random() * 18) * SECOND, harm);
  };
  clock.at(SECOND, arrive);
  clock.at(20 * SECOND, harm);
  await world.run(400 * SECOND);
  return world;
}

/** Each run checks every rule after every step, and at the end that all work came to its end. */
const [FROM, RUNS] = [Number(process.env['CHAOS_FROM'] ?? 1), Number(process.env['CHAOS_RUNS'] ?? 12)];
for (let seed = FROM; seed < FROM + RUNS; seed++) {
  test(`rules hold and work ends under random troubles, seed ${seed}`, async () => {
    const world = await chaos(seed);
    assert.ok(world.rules.starts > 20, `only ${world.rules.starts} starts`);
    assert.deepEqual(world.rules.unfinished(), []);
  });
}
