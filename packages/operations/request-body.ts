/** Reads the JSON bodies of operators' requests. */
import type { IncomingMessage } from 'node:http';
import { OperatorRequestError } from './request-error.js';

/** Maximum length of a body. A body names a single role, so it is short. */
const MAX_BODY_BYTES = 1024;

/** Parses the body of a request as JSON; rejects with {@link OperatorRequestError} if the body is invalid, cut off or too long. */
export async function readJsonBody(request: IncomingMessage): Promise<unknown> {
  const body = await readBody(request);
  try {
    return JSON.parse(body.toString('utf8'));
  } catch (cause) {
    throw new OperatorRequestError(400, 'the body is not JSON', { cause });
  }
}

async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > MAX_BODY_BYTES) {
        throw new OperatorRequestError(413, `the body is over ${MAX_BODY_BYTES} bytes`);
      }
      chunks.push(chunk);
    }
  } catch (cause) {
    if (cause instanceof OperatorRequestError) throw cause;
    throw new OperatorRequestError(400, 'the body was cut off', { cause });
  }
  return Buffer.concat(chunks);
}
