/** Random fault injection: the table of all faults that operators have met, and the choice of one of them. */
import { type Fault, FaultTarget } from './fault-target.js';
import * as machines from './machine-faults.js';
import * as network from './network-faults.js';
import * as nodes from './node-faults.js';
import { pick } from './random-jobs.js';
import type { SimCluster } from './sim-cluster.js';
import * as services from './service-faults.js';

/** All faults. Their order belongs to the seeds: the same seed picks the same faults only while it stays. */
export const FAULTS: readonly Fault[] = [
  { name: 'restart a node', inject: nodes.restartNode },
  { name: 'restart all nodes', inject: nodes.restartAllNodes },
  { name: 'state service out', inject: services.stopStore },
  { name: 'state service refuses a node', inject: services.refuseNodeAtStore },
  { name: 'partition between zones', inject: network.partitionZones },
  { name: 'messages lost or delayed', inject: network.loseMessages },
  { name: 'heartbeats duplicated', inject: network.duplicateHeartbeats },
  { name: 'answers to a worker lost', inject: network.loseAnswersToWorker },
  { name: 'node without state service and peers', inject: network.isolateNodeFromStoreAndPeers },
  { name: 'node without workers', inject: network.isolateNodeFromWorkers },
  { name: 'peer connections refused', inject: network.refuseAllPeers },
  { name: 'zone isolated', inject: network.isolateZone },
  { name: 'commits applied late', inject: services.delayCommits },
  { name: 'messages of a worker held back', inject: network.holdWorkerMessages },
  { name: 'workers without controllers', inject: network.isolateWorkers },
  { name: 'state service refuses a node, then all', inject: services.refuseNodeThenStopStore },
  { name: 'slow endpoint', inject: network.slowDownEndpoint },
  { name: 'restart a node twice', inject: nodes.restartNodeTwice },
  { name: 'freeze a node', inject: nodes.freezeNode },
  { name: 'many machines fail', inject: machines.failManyMachines },
  { name: 'cloud out', inject: services.stopCloud },
  { name: 'machine dies', inject: machines.killMachine },
  { name: 'machine reclaimed', inject: machines.reclaimMachine },
  { name: 'worker hangs', inject: machines.hangWorker },
];

/** Injects one fault, chosen at random together with the node and the worker that it acts on. */
export function injectRandomFault(cluster: SimCluster): void {
  const target = FaultTarget.choose(cluster);
  pick(cluster.random, FAULTS).inject(target);
}
