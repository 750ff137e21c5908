/** Finds out whether a process still serves HTTP at an address. */
import {request as sendRequest, type IncomingHttpHeaders} from 'node:http';

/** Result of a liveness probe. */
export type LivenessResult =
  /** It answers, with whatever status. */
  | {readonly kind: 'alive'; readonly headers: IncomingHttpHeaders}
  /** It holds the connection and has not answered in time. */
  | {readonly kind: 'silent'}
  /** The host answers, and nothing listens there. */
  | {readonly kind: 'refused'}
  /** No connection in time, or it closed without an answer. */
  | {readonly kind: 'unknown'};

/** One probe; `timeoutMs` bounds the connection and the answer together. */
export interface LivenessProbe {
  /** `host:port`. */
  readonly address: string;
  /** @default GET */
  readonly method?: string;
  readonly path: string;
  readonly timeoutMs: number;
}

const REFUSED_CODE = 'ECONNREFUSED';

/** Sends one request without a body on a connection of its own; never rejects. */
export function probeLiveness({
  address,
  method = 'GET',
  path,
  timeoutMs,
}: LivenessProbe): Promise<LivenessResult> {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    let isConnected = false;
    const request = sendRequest({host, port, method, path, agent: false});
    const end = (result: LivenessResult): void => {
      clearTimeout(timer);
      request.destroy();
      resolve(result);
    };
    const timer = setTimeout(
      () => end({kind: isConnected ? 'silent' : 'unknown'}),
      timeoutMs,
    );
    request.once('socket', socket =>
      socket.once('connect', () => (isConnected = true)),
    );
    request.once('response', ({headers}) => end({kind: 'alive', headers}));
    request.on('error', ({code}: NodeJS.ErrnoException) =>
      end({kind: code === REFUSED_CODE ? 'refused' : 'unknown'}),
    );
    request.end();
  });
}
