/** Collects the answers of several nodes and lists the nodes that did not answer. */
import type { NodeAnswer } from '#operations';
import { CommandFailure } from './errors.js';
import type { Print } from './output.js';

/** Options of the commands that send a request to several nodes. */
export interface NodesOptions {
  /** Addresses of the operators' listeners, as given on the command line. */
  readonly node: readonly string[];
  readonly json: boolean;
}

/** The object that `--json` prints. Its fields are a stable interface for scripts. */
export interface NodeAnswers<T> {
  /** The answer of each node, with the node's address. */
  readonly nodes: readonly (T & { readonly node: string })[];
  /** The nodes that did not answer, with the reasons. */
  readonly silent: readonly UnresponsiveNode[];
}

/** A node that did not answer a request. */
export interface UnresponsiveNode {
  readonly node: string;
  readonly reason: string;
}

/** Separates the answers from the failed requests. Both lists keep the order of the addresses. */
export function splitAnswers<T>(answers: readonly NodeAnswer<T>[]): NodeAnswers<T> {
  const nodes: (T & { node: string })[] = [];
  const silent: UnresponsiveNode[] = [];
  for (const answer of answers) {
    const { node } = answer;
    if (answer.kind === 'answered') nodes.push({ node, ...answer.value });
    else silent.push({ node, reason: answer.reason });
  }
  return { nodes, silent };
}

/** Prints a line for each node that did not answer. */
export function printUnresponsive({ silent }: NodeAnswers<unknown>, print: Print): void {
  for (const { node, reason } of silent) print(`${node}: no answer (${reason})`);
}

/** Throws {@link CommandFailure} if no node has answered. */
export function requireAnswer({ nodes }: NodeAnswers<unknown>): void {
  if (nodes.length > 0) return;
  throw new CommandFailure(
    "no node answered; check that operations/listen is set in the nodes' operators' settings (XML)",
  );
}
