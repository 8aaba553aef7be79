/** Random fault injection: the table of all faults that have occurred in production, and the choice of one of them. */
import { type Fault, FaultTarget } from './fault-target.js';
import * as machines from './machine-faults.js';
import * as network from './network-faults.js';
import * as nodes from './node-faults.js';
import { pick } from './random-jobs.js';
import type { SimCluster } from './sim-cluster.js';
import * as services from './service-faults.js';

/** All faults. A seed picks the same faults only as long as the order of this table does not change. */
export const FAULTS: readonly Fault[] = [
  { name: 'restart a node', inject: nodes.restartNode },
  { name: 'restart all nodes', inject: nodes.restartAllNodes },
  { name: 'state service outage', inject: services.failStore },
  { name: 'state service refuses a node', inject: services.refuseNodeAtStore },
  { name: 'partition between zones', inject: network.partitionZones },
  { name: 'messages lost or delayed', inject: network.loseMessages },
  { name: 'heartbeats duplicated', inject: network.duplicateHeartbeats },
  { name: 'responses to a worker lost', inject: network.loseResponsesToWorker },
  { name: 'node isolated from state service and peers', inject: network.isolateNodeFromStoreAndPeers },
  { name: 'node isolated from workers', inject: network.isolateNodeFromWorkers },
  { name: 'peer connections refused', inject: network.refuseAllPeerConnections },
  { name: 'zone isolated', inject: network.isolateZone },
  { name: 'commits applied late', inject: services.delayCommits },
  { name: 'messages of a worker held back', inject: network.holdWorkerMessages },
  { name: 'workers isolated from controllers', inject: network.isolateWorkers },
  { name: 'state service refuses a node, then all', inject: services.refuseNodeThenFailStore },
  { name: 'slow endpoint', inject: network.slowDownEndpoint },
  { name: 'restart a node twice', inject: nodes.restartNodeTwice },
  { name: 'suspend a node', inject: nodes.suspendNode },
  { name: 'many machines fail', inject: machines.failManyMachines },
  { name: 'cloud outage', inject: services.failCloud },
  { name: 'machine dies', inject: machines.killMachine },
  { name: 'machine reclaimed', inject: machines.reclaimMachine },
  { name: 'worker hangs', inject: machines.hangWorker },
];

/** Injects one fault; the fault, the node and the worker are chosen at random. */
export function injectRandomFault(cluster: SimCluster): void {
  const target = FaultTarget.choose(cluster);
  pick(cluster.random, FAULTS).inject(target);
}
