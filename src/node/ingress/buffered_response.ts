/** Sends a response that was read whole to a caller or another entry. */
import type {CallerResponse, Framing} from './caller_response.js';
import {UNFRAMED_HEADER, withoutInnerHeaders} from './inner_headers.js';
import type {HeaderPair, RequestProtocol} from './protocol.js';
import type {ResponseReader} from './response_reader.js';

/**
 * What the kernel takes from a process at once on a new connection, by the
 * default of Linux. A caller gets that much even if the process is killed; of a
 * larger body a part may wait in the process for a slow caller.
 */
const KERNEL_BUFFER_BYTES = 16 * 1024;

export interface BufferedResponseOptions {
  readonly protocol: RequestProtocol;
  readonly response: CallerResponse;
  /** Whether the response goes to another entry. */
  readonly isForPeer: boolean;
}

/** Sends what the reader has buffered, as complete. */
export function sendBuffered(
  reader: ResponseReader,
  status: number,
  {protocol, response, isForPeer}: BufferedResponseOptions,
): void {
  const received = reader.head?.headers ?? {};
  const headers = withoutInnerHeaders(protocol.callerHeaders(received));
  const body = reader.body();
  const isUnframed = reader.framing === 'until_close';
  if (isForPeer && isUnframed) {
    const named: HeaderPair = [UNFRAMED_HEADER, reader.completeness];
    response.sendComplete(status, [...headers, named], body);
    return;
  }
  response.sendComplete(status, headers, body, framingOf(reader, body));
}

/**
 * A small response keeps the framing of its upstream, which may have cut it and
 * live on. A larger one gets a length if its upstream lives on: else a kill of
 * this process would make a part of it look complete.
 */
function framingOf(reader: ResponseReader, body: Buffer): Framing {
  const isSmall = body.length <= KERNEL_BUFFER_BYTES;
  if (isSmall || reader.completeness !== 'complete') return reader.framing;
  return 'framed';
}
