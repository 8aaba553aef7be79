// The two deployments of the brief, at their small size.

/** Qazsafe Travel Quote Pricing Cluster. */
export const qazsafe = () => ({
  name: 'qazsafe-quotes',
  nodeZones: ['almaty', 'astana', 'almaty'],
  zones: ['almaty', 'astana', 'shymkent'],
  backAfterS: 3,
  machine: { cpu: 0.255, memMb: 306, sockets: 2500 },
  state: { rps: 80, writeRps: 25, valueKb: 4, txnOps: 8 },
  cloud: { rps: 10, listLagS: 6 },
  workers: { reportS: 3, leaseS: 22, cancelS: 47 },
  teams: [
    { name: 'pricing', cpus: 32, cpusMax: 104 },
    { name: 'underwriting', cpus: 48, cpusMax: 72 },
    { name: 'partner-feeds', cpus: 24, cpusMax: 72 },
  ],
  types: [
    {
      Sku: 'steppe-4',
      Cpus: 4,
      Gpus: 0,
      MemGb: 16,
      CacheGb: 60,
      FetchGbPerS: 0.5,
      Price: 0.24,
      LowPrice: 0.09,
      BootS: 30,
      Halls: ['almaty', 'astana', 'shymkent'],
    },
  ],
  // Up to about 32 machines.
  capacity: () => 5,
  // "at times machines are up within a second or two"
  bootMs: () => 1500,
  fetchMs: () => 500,
});

/** Panier Breizh Shared Delivery Platform. */
export const panier = () => ({
  name: 'panier-breizh',
  nodeZones: ['brest', 'rennes', 'brest'],
  zones: ['brest', 'rennes'],
  backAfterS: 8,
  machine: { cpu: 0.204, memMb: 146, sockets: 900 },
  state: { rps: 100, writeRps: 30, valueKb: 16, txnOps: 24 },
  cloud: { rps: 3, listLagS: 10 },
  workers: { reportS: 1.5, leaseS: 10, cancelS: 35 },
  teams: [{ name: 'dispatch', cpus: 16, cpusMax: 56 }],
  types: [
    type('menhir-4', 4, 16, 0.23, 0.06, 30),
    type('menhir-8', 8, 64, 0.57, 0.17, 25),
    type('dolmen-64', 64, 256, 3.96, 1.13, 35),
  ],
  capacity: () => 8,
  bootMs: () => 1500,
  fetchMs: () => 500,
});

function type(Sku, Cpus, MemGb, Price, LowPrice, BootS) {
  const Halls = ['brest', 'rennes'];
  return { Sku, Cpus, Gpus: 0, MemGb, CacheGb: 60, FetchGbPerS: 0.5, Price, LowPrice, BootS, Halls };
}
