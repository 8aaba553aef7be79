/** Fairness of a whole run: which classes, teams and largest jobs were neglected. */
import { type Micros, SECOND } from '#wire';
import type { JobObservation } from './invariant-types.js';

/** Within this time even the largest jobs start. */
const LARGEST_JOB_START_DEADLINE: Micros = 240 * SECOND;
/** One in so many jobs of a class counts as one of its largest. */
const LARGEST_DIVISOR = 10;

/** The largest jobs of a class, the largest first. */
function largestOf(jobs: readonly JobObservation[], jobClass: string): JobObservation[] {
  const ranked = jobs
    .filter(({ spec }) => spec.jobClass === jobClass)
    .sort((a, b) => b.spec.taskCount - a.spec.taskCount);
  return ranked.slice(0, Math.ceil(ranked.length / LARGEST_DIVISOR));
}

/**
 * Describes the classes, teams and largest jobs that were neglected: less than half of their jobs are done, apart from
 * those that their users cancelled, or a largest job started too late.
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
  const complaints: string[] = [];
  for (const jobClass of new Set(jobs.map(({ spec }) => spec.jobClass))) {
    for (const job of largestOf(jobs, jobClass)) {
      add(`largest of ${jobClass}`, job);
      const wait = (job.startedAt ?? Infinity) - job.submittedAt;
      if (wait > LARGEST_JOB_START_DEADLINE) complaints.push(`${job.spec.id} of ${jobClass} began too late`);
    }
  }
  for (const [name, members] of groups) {
    const served = members.filter((job) => job.doneTasks.size >= job.spec.taskCount).length;
    if (served * 2 < members.length) complaints.push(`${name}: ${served} of ${members.length} done`);
  }
  return complaints;
}
