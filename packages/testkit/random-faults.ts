/** Troubles for random runs of a deployment: everything that the operators have met, one at a time. */
import { SECOND } from '#wire';
import { pick } from './random-jobs.js';
import type { SimCluster } from './sim-cluster.js';

/** One thing that goes wrong for a while, chosen at random. */
export function injectRandomFault(cluster: SimCluster): void {
  const { random, clock } = cluster;
  const during = (seconds: number, on: () => void, off: () => void): void => {
    on();
    clock.at(seconds * SECOND, off);
  };
  const { store, net, cloud } = cluster;
  const node = Math.floor(random() * cluster.nodeCount);
  const restart = (i: number, after: number): void => {
    during(
      after,
      () => {
        cluster.killNode(i);
      },
      () => {
        cluster.startNode(i);
      },
    );
  };
  const refuse = (links: readonly string[], seconds: number): void => {
    during(
      seconds,
      () => {
        for (const link of links) net.refusedLinks.add(link);
      },
      () => {
        for (const link of links) net.refusedLinks.delete(link);
      },
    );
  };
  const worker = [...cluster.workers.values()][Math.floor(random() * cluster.workers.size)];
  const host = worker && cluster.cloud.hosts.get(worker.machine.host);
  const kinds: (() => void)[] = [
    () => {
      restart(node, 0.2 + random() * 5);
    },
    () => {
      for (let i = 0; i < cluster.nodeCount; i++) restart(i, 1 + random() * 6);
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
        () => store.refusedNodes.add(name),
        () => store.refusedNodes.delete(name),
      );
    },
    () => {
      const set = (on: boolean) => () => {
        net.setPartition('east', 'west', on);
      };
      during(3 + random() * 30, set(true), set(false));
    },
    () => {
      during(
        5 + random() * 10,
        () => (net.faults = { faultRate: 0.3, maxDelay: 20 * SECOND }),
        () => (net.faults = { faultRate: 0, maxDelay: 0 }),
      );
    },
    () => {
      // Copies from seconds to well over a lease late: to the same owner, to a new one, to one started anew.
      during(
        5 + random() * 20,
        () =>
          (net.faults = { faultRate: 0, maxDelay: 0, duplicateRate: 0.3, maxDuplicateDelay: 40 * SECOND }),
        () => (net.faults = { faultRate: 0, maxDelay: 0 }),
      );
    },
    () => {
      if (!worker) return;
      const name = worker.machine.host;
      during(
        5 + random() * 40,
        () => net.unansweredParties.add(name),
        () => net.unansweredParties.delete(name),
      );
    },
    () => {
      // Loses the state service and the other controllers, not its workers.
      const name = `node-${node}`;
      const others = [...Array(cluster.nodeCount).keys()].filter((i) => i !== node);
      const links = others.flatMap((i) => [`${name}>10.0.0.${i}:81`, `node-${i}>10.0.0.${node}:81`]);
      const seconds = 5 + random() * 40;
      refuse(links, seconds);
      during(
        seconds,
        () => store.refusedNodes.add(name),
        () => store.refusedNodes.delete(name),
      );
    },
    () => {
      // Loses the workers, and nothing else.
      const links = [...cluster.workers.keys()].map((name) => `${name}>10.0.0.${node}:80`);
      refuse(links, 5 + random() * 40);
    },
    () => {
      // Connections between controllers are refused.
      const all = [...Array(cluster.nodeCount).keys()];
      const links = all.flatMap((i) => all.map((j) => `node-${i}>10.0.0.${j}:81`));
      refuse(links, 5 + random() * 20);
    },
    () => {
      const zone = pick(random, ['east', 'west']);
      const mode = pick(random, ['hold', 'reset'] as const);
      during(
        3 + random() * 30,
        () => {
          net.isolate(zone, mode);
        },
        () => {
          net.isolate(zone, null);
        },
      );
    },
    () => {
      // Transactions get no answer and land late, after newer ones.
      during(
        5 + random() * 30,
        () => (store.lateCommitRate = 0.4),
        () => (store.lateCommitRate = 0),
      );
    },
    () => {
      // What a machine sends is held on the way, for less or more than a lease.
      if (!worker) return;
      const name = worker.machine.host;
      during(
        2 + random() * 25,
        () => {
          net.hold(name);
        },
        () => net.release(name),
      );
    },
    () => {
      // Machines reach no controller.
      const some = [...cluster.workers.keys()].filter(() => random() < 0.5);
      refuse(
        some.flatMap((name) => [...Array(cluster.nodeCount).keys()].map((i) => `${name}>10.0.0.${i}:80`)),
        3 + random() * 25,
      );
    },
    () => {
      // The gap: refused alone, then out for all, for about cancel_s less lease_s or for longer than cancel_s.
      const name = `node-${node}`;
      during(
        5 + random() * 20,
        () => store.refusedNodes.add(name),
        () => store.refusedNodes.delete(name),
      );
      clock.at(random() * 3 * SECOND, () => {
        during(
          random() < 0.5 ? 14 + random() * 4 : 26 + random() * 6,
          () => {
            store.setOutage(true);
          },
          () => {
            store.setOutage(false);
          },
        );
      });
    },
    () => {
      // The state service, or one node, is slow.
      const name = pick(random, ['10.2.0.1:2379', `10.0.0.${node}:80`, `node-${node}`]);
      during(
        5 + random() * 30,
        () => net.slowdowns.set(name, 10 + random() * 60),
        () => net.slowdowns.delete(name),
      );
    },
    () => {
      // Back within a fraction of a second, twice, so that its earlier grants are still alive; an election may
      // be on its way.
      restart(node, 0.05 + random() * 0.3);
      clock.at((0.4 + random() * 3) * SECOND, () => {
        restart(node, 0.05 + random() * 0.3);
      });
    },
    () => {
      // Stands still while its clocks run on, for less than a grant's life up to well over a lease.
      cluster.freezeNode(node, (1 + random() * 29) * SECOND);
    },
    () => {
      // Many machines fail at once: some die, some hang for less or more than a lease.
      for (const w of cluster.workers.values()) {
        const there = cloud.hosts.get(w.machine.host);
        const luck = random();
        if (luck < 0.25 && there) cloud.die(there);
        else if (luck < 0.6) {
          during(
            2 + random() * 20,
            () => (w.isHanging = true),
            () => (w.isHanging = false),
          );
        }
      }
    },
    () => {
      const set = (on: boolean) => () => {
        cloud.isOut = on;
      };
      during(3 + random() * 20, set(true), set(false));
    },
    () => {
      if (host) cloud.die(host);
    },
    () => {
      if (!host || !worker) return;
      worker.reclaimInS = 4;
      clock.at(4 * SECOND, () => {
        if (cloud.hosts.get(host.host) === host) cloud.reclaim(host);
      });
    },
    () => {
      if (worker) {
        during(
          2 + random() * 20,
          () => (worker.isHanging = true),
          () => (worker.isHanging = false),
        );
      }
    },
  ];
  pick(random, kinds)();
}
