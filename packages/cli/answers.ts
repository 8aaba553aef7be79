/** Answers of several nodes, and the nodes that gave none. */
import type { NodeAnswer } from '#operations';
import { CommandFailure } from './errors.js';
import type { Print } from './output.js';

/** Options of the commands that ask several nodes. */
export interface NodesOptions {
  /** Addresses of the operators' listeners, as given. */
  readonly node: readonly string[];
  readonly json: boolean;
}

/** What `--json` prints: its form is stable. */
export interface NodeAnswers<T> {
  /** What each node answered, with its address. */
  readonly nodes: readonly (T & { readonly node: string })[];
  /** The nodes that gave no answer, and why. */
  readonly silent: readonly SilentNode[];
}

/** A node that gave no answer. */
export interface SilentNode {
  readonly node: string;
  readonly reason: string;
}

/** Separates the answers from the nodes that gave none; both keep the order of the addresses. */
export function sortAnswers<T>(answers: readonly NodeAnswer<T>[]): NodeAnswers<T> {
  const nodes: (T & { node: string })[] = [];
  const silent: SilentNode[] = [];
  for (const answer of answers) {
    const { node } = answer;
    if (answer.kind === 'answered') nodes.push({ node, ...answer.value });
    else silent.push({ node, reason: answer.reason });
  }
  return { nodes, silent };
}

/** Prints a line for each node that gave no answer. */
export function printSilent({ silent }: NodeAnswers<unknown>, print: Print): void {
  for (const { node, reason } of silent) print(`${node}: no answer (${reason})`);
}

/** Fails with {@link CommandFailure} if no node has answered at all. */
export function demandAnswer({ nodes }: NodeAnswers<unknown>): void {
  if (nodes.length > 0) return;
  throw new CommandFailure('no node answered; is operations/listen set in their XML?');
}
