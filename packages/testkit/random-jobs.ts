/** Random jobs for randomized runs of a simulated cluster. */
import type { JobSpec, Rank } from '#wire';
import { sampleJob } from './sample-job.js';

const RANKS: Rank[] = ['best_effort', 'normal', 'urgent', 'prod'];

/** Returns one of the items, chosen at random. */
export function pick<T>(random: () => number, items: readonly T[]): T {
  return items[Math.floor(random() * items.length)] as T;
}

/** Fraction of the random jobs that are gangs. */
const GANG_RATE = 0.25;

/** Creates a gang that fits into its team's limit; `jobNumber` becomes part of its id. */
export function randomGang(random: () => number, jobNumber: number): JobSpec {
  return sampleJob(`j-${String(jobNumber).padStart(6, '0')}`, {
    shape: 'gang',
    jobClass: 'joint',
    team: pick(random, ['blue', 'green']),
    rank: pick(random, RANKS),
    taskCount: 2 + Math.floor(random() * 4),
    cpus: pick(random, [1, 2]),
    memGb: pick(random, [1, 4]),
    image: pick(random, ['img-1', 'img-2']),
    singleZone: random() < 0.6,
    allowsSpot: random() < 0.5,
    estimateS: 4 + random() * 12,
    checkpointS: random() < 0.5 ? 3 : 0,
    saveS: 1,
  });
}

/** Creates an array or a gang; `jobNumber` becomes part of its id. */
export function randomJob(random: () => number, jobNumber: number): JobSpec {
  return random() < GANG_RATE ? randomGang(random, jobNumber) : randomArray(random, jobNumber);
}

/** Creates an array of independent tasks; `jobNumber` becomes part of its id. */
export function randomArray(random: () => number, jobNumber: number): JobSpec {
  const arraySize = 1 + Math.floor(random() * 6);
  return sampleJob(`j-${String(jobNumber).padStart(6, '0')}`, {
    team: pick(random, ['blue', 'green']),
    rank: pick(random, RANKS),
    taskCount: arraySize,
    cpus: pick(random, [1, 2, 4]),
    memGb: pick(random, [1, 4, 14]),
    image: pick(random, ['img-1', 'img-2']),
    machineTypes: random() < 0.2 ? ['large'] : null,
    zone: random() < 0.15 ? pick(random, ['east', 'west']) : null,
    singleZone: random() < 0.2,
    spreadZones: random() < 0.2,
    allowsSpot: random() < 0.7,
    estimateS: 2 + random() * 12,
    checkpointS: random() < 0.3 ? 3 : 0,
    saveS: 1,
  });
}
