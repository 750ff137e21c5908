/** How the end of a response is marked on its connection. */
import type {IncomingHttpHeaders} from 'node:http';

/** Whether the length or chunks of a response mark its end. */
export function isFramed(headers: IncomingHttpHeaders): boolean {
  return (
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined
  );
}
