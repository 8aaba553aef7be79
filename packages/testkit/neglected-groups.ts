/** Fairness check for a whole run: finds the classes, teams and largest jobs that were neglected. */
import { type Micros, SECOND } from '#wire';
import type { JobObservation } from './invariant-types.js';

/** Time from submission within which even the largest jobs must start. */
const LARGEST_JOB_START_DEADLINE: Micros = 240 * SECOND;
/** The largest tenth of the jobs of a class, rounded up, counts as its largest jobs. */
const LARGEST_DIVISOR = 10;

/** Returns the largest jobs of a class in descending order of size. */
function largestOf(jobs: readonly JobObservation[], jobClass: string): JobObservation[] {
  const ranked = jobs
    .filter(({ spec }) => spec.jobClass === jobClass)
    .sort((a, b) => b.spec.taskCount - a.spec.taskCount);
  return ranked.slice(0, Math.ceil(ranked.length / LARGEST_DIVISOR));
}

/**
 * Describes the neglected classes, teams and largest jobs. A group is neglected if less than half of its jobs are done,
 * and a largest job if it started too late. Jobs that their users cancelled do not count.
 */
export function findNeglectedGroups(observations: Iterable<JobObservation>): string[] {
  const jobs = [...observations].filter((job) => job.isAccepted && !job.isCancellationRequested);
  const groups = new Map<string, JobObservation[]>();
  const add = (name: string, job: JobObservation): void => {
    groups.set(name, [...(groups.get(name) ?? []), job]);
  };
  for (const job of jobs) {
    add(`class ${job.spec.jobClass}`, job);
    add(`team ${job.spec.team}`, job);
  }
  const descriptions: string[] = [];
  for (const jobClass of new Set(jobs.map(({ spec }) => spec.jobClass))) {
    for (const job of largestOf(jobs, jobClass)) {
      add(`largest of ${jobClass}`, job);
      const wait = (job.startedAt ?? Infinity) - job.submittedAt;
      if (wait > LARGEST_JOB_START_DEADLINE)
        descriptions.push(`${job.spec.id} of ${jobClass} started too late`);
    }
  }
  for (const [name, members] of groups) {
    const completed = members.filter((job) => job.doneTasks.size >= job.spec.taskCount).length;
    if (completed * 2 < members.length) descriptions.push(`${name}: ${completed} of ${members.length} done`);
  }
  return descriptions;
}
