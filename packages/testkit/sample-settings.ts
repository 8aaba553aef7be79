/** A sample deployment for tests: settings, machine types and addresses of a simulated cluster. */
import type { Settings } from '#settings';
import { type MachineType, MS, SECOND } from '#wire';

const ZONES = ['east', 'west'];
/** Address of the simulated state service. */
export const STATE_ENDPOINT = '10.2.0.1:2379';
/** Address of the simulated cloud. */
export const CLOUD_ENDPOINT = '10.2.0.2:8443';

/** Returns the address at which a node serves users and workers. */
export function userEndpoint(index: number): string {
  return `10.0.0.${index}:80`;
}

/** Returns the address at which a node serves its peers. */
export function peerEndpoint(index: number): string {
  return `10.0.0.${index}:81`;
}

function zoneOf(index: number): string {
  return ZONES[index % ZONES.length]!;
}

function teamSettings(): Settings['teams'] {
  return [
    { name: 'blue', cpus: 8, cpusMax: 20, gpus: 0, gpusMax: 0 },
    { name: 'green', cpus: 8, cpusMax: 16, gpus: 0, gpusMax: 2 },
  ];
}

/** Returns the settings of one node of a small deployment. Every number differs from any real one on purpose. */
export function sampleSettings(
  index: number,
  nodeCount: number,
  overrides: Partial<Settings> = {},
): Settings {
  const peers = [...Array(nodeCount).keys()].filter((peer) => peer !== index);
  return {
    member: `node-${index}`,
    domain: zoneOf(index),
    bind: userEndpoint(index),
    clusterListen: peerEndpoint(index),
    peers: peers.map((peer) => ({
      member: `node-${peer}`,
      domain: zoneOf(peer),
      endpoint: peerEndpoint(peer),
    })),
    cloud: CLOUD_ENDPOINT,
    state: STATE_ENDPOINT,
    initialSize: nodeCount,
    zones: ZONES,
    timeBound: 50 * MS,
    teams: teamSettings(),
    objectives: [{ kind: 'finished', jobClass: 'batch', within: 60 * SECOND }],
    ...sampleLimits(),
    ...overrides,
  };
}

/** Returns the time limits, rate limits and size limits of the protocol. */
function sampleLimits() {
  return {
    heartbeatInterval: 2 * SECOND,
    workerLease: 9 * SECOND,
    cancellationDeadline: 25 * SECOND,
    gangWait: 20 * SECOND,
    gangPeer: 3 * SECOND,
    stateRps: 100,
    stateWriteRps: 40,
    valueBytes: 2048,
    txnOps: 6,
    cloudRps: 10,
    machineListLag: 3 * SECOND,
    sockets: 500,
  };
}

/** Machine types that the simulated cloud offers. */
export const SAMPLE_TYPES: MachineType[] = [
  {
    name: 'small',
    cpus: 4,
    gpus: 0,
    memGb: 16,
    cacheGb: 40,
    fetchGbPerS: 1,
    price: 1,
    spotPrice: 0.3,
    bootS: 6,
    zones: ZONES,
  },
  {
    name: 'large',
    cpus: 12,
    gpus: 2,
    memGb: 64,
    cacheGb: 80,
    fetchGbPerS: 1,
    price: 4,
    spotPrice: 1.2,
    bootS: 8,
    zones: ['east'],
  },
];

/** Machine types of the clusters on loopback. Their machines boot faster than the sample ones. */
export const LOOPBACK_TYPES: MachineType[] = [
  {
    name: 'small',
    cpus: 4,
    gpus: 0,
    memGb: 16,
    cacheGb: 40,
    fetchGbPerS: 4,
    price: 1,
    spotPrice: 0.3,
    bootS: 1.5,
    zones: ZONES,
  },
];
