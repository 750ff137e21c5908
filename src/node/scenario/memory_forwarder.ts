/** Forwards requests between entries as messages of the in-memory network. */
import type {ServerResponse} from 'node:http';
import {z} from 'zod';
import {Forwarder, type ForwardEnvelope} from '../entry/forwarding.js';
import {REQUEST_ID_HEADER, WORK_HEADER} from '../entry/answers.js';
import type {Gateway} from '../entry/gateway.js';
import type {RpcClient, RpcRouter} from '../rpc/rpc.js';
import {fromErrorBody, GatewayError, type ErrorBody} from '../types/errors.js';
import {MemoryResponse} from './memory_response.js';

const METHOD = 'scenario.forward';

interface ForwardedAnswer {
  readonly status: number;
  readonly headers: Record<string, string>;
  readonly body: string;
}

/** Answers forwarded requests on the receiving entry. */
export function registerForwarding(router: RpcRouter, gateway: Gateway): void {
  router.register(
    METHOD,
    z.strictObject({envelope: z.string()}),
    async ({envelope}, context): Promise<ForwardedAnswer> => {
      const response = new MemoryResponse();
      await gateway.runForwarded(
        Buffer.from(envelope),
        response.asServerResponse(),
        context,
      );
      return {
        status: response.statusCode,
        headers: response.headerEntries(),
        body: response.body().toString(),
      };
    },
  );
}

/** The forwarder of one entry. */
export class MemoryForwarder extends Forwarder {
  constructor(
    private readonly client: RpcClient,
    private readonly onForward: (requestId: string, to: string) => void,
  ) {
    super();
  }

  override async forward(
    address: string,
    envelope: ForwardEnvelope,
    response: ServerResponse,
  ): Promise<void> {
    this.onForward(envelope.requestId, address);
    const result = await this.client.call<ForwardedAnswer>(
      address,
      METHOD,
      {envelope: JSON.stringify(envelope)},
      Math.ceil(envelope.remainingMs),
    );
    if (result.isErr()) throw asTransportError(result.error);
    const {status, headers, body} = result.value;
    if (status >= 400 && headers[WORK_HEADER] !== 'ran') {
      const parsed = JSON.parse(body) as {error: ErrorBody};
      throw fromErrorBody(parsed.error);
    }
    [WORK_HEADER, REQUEST_ID_HEADER, 'content-type'].forEach(name => {
      const value = headers[name];
      if (value !== undefined) response.setHeader(name, value);
    });
    response.writeHead(status);
    response.end(body);
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }
}

// A cut link shows as a call without an answer: it may have run.
function asTransportError(error: GatewayError): GatewayError {
  const isSent = error.code === 'timeout';
  return new GatewayError({
    code: 'unreachable',
    message: error.message,
    step: 'entry.forward',
    peer: error.peer,
    work: isSent ? 'unknown' : 'not_run',
    cause: error,
  });
}
