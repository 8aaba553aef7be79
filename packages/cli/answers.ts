/** Answers of several nodes: those that came, and which nodes were silent. */
import type { NodeAnswer } from '#operations';
import { failure } from './errors.js';
import type { Print } from './output.js';

/** Options of the commands that ask several nodes. */
export interface NodesOptions {
  node: string[];
  json: boolean;
}

/** The stable form of `--json`. */
export interface NodeAnswers<T> {
  nodes: (T & { node: string })[];
  silent: { node: string; reason: string }[];
}

export function sortAnswers<T>(answers: readonly NodeAnswer<T>[]): NodeAnswers<T> {
  const sorted: NodeAnswers<T> = { nodes: [], silent: [] };
  for (const answer of answers) {
    const { node } = answer;
    if (answer.kind === 'answered') sorted.nodes.push({ node, ...answer.value });
    else sorted.silent.push({ node, reason: answer.reason });
  }
  return sorted;
}

export function printSilent({ silent }: NodeAnswers<unknown>, print: Print): void {
  for (const { node, reason } of silent) print(`${node}: no answer (${reason})`);
}

/** Fails if no node has answered at all. */
export function demandAnswer({ nodes }: NodeAnswers<unknown>): void {
  if (nodes.length === 0) throw failure('no node answered; is operations/listen set in their XML?');
}
