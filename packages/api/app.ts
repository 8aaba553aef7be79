/** The Koa application, which turns a request into an encoded response. */
import Koa from 'koa';
import { encode } from '#wire';
import { InvalidBodyError } from './request-body.js';
import { dispatch } from './routes.js';
import type { NodeService, ServiceResponse } from './service.js';

/** Receives an unexpected error of an operation. The client gets status 500 without the message. */
export type ErrorListener = (cause: unknown) => void;

/** Creates the application that serves the operations of a node. */
export function createApp(service: NodeService, onError: ErrorListener): Koa {
  const app = new Koa();
  app.silent = true;
  app.use(async (ctx) => {
    const request = { method: ctx.method, path: ctx.path, message: ctx.req };
    const response = await dispatch(service, request).catch((cause: unknown) =>
      errorResponse(cause, onError),
    );
    ctx.status = response.status;
    if (response.retryAfterS !== undefined) ctx.set('Retry-After', String(response.retryAfterS));
    if (response.closesConnection) ctx.set('Connection', 'close');
    ctx.type = 'application/msgpack';
    ctx.body = encode(response.body);
  });
  return app;
}

function errorResponse(cause: unknown, onError: ErrorListener): ServiceResponse {
  if (cause instanceof InvalidBodyError) {
    // The rest of an oversized body is not read, so the connection can't be reused.
    return { status: 400, body: { error: cause.message }, closesConnection: true };
  }
  onError(cause);
  return { status: 500, body: { error: 'internal error' } };
}
