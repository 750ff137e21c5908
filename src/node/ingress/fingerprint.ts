/** Recognizes a request that its caller sends again. */
import {createHash} from 'node:crypto';
import type {InboundRequest} from './types.js';

/** Characters of the digest that are kept; 96 bits tell all requests apart. */
const LENGTH = 16;

/** Digest of what the copies of a request have in common, their caller too. */
export function fingerprintOf({
  method,
  path,
  body,
  route,
  workspace,
}: Pick<
  InboundRequest,
  'method' | 'path' | 'body' | 'route' | 'workspace'
>): string {
  const caller = workspace === undefined ? [] : [workspace.name];
  return createHash('sha256')
    .update(JSON.stringify([route.host, method, path, ...caller]))
    .update(body)
    .digest('base64url')
    .slice(0, LENGTH);
}
