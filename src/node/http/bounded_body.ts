/** Reads response bodies from other processes, up to a size limit. */
import type {Dispatcher} from 'undici';
import {GatewayError} from '../types/errors.js';
import {ByteBuffer, PIECE_COST_BYTES} from './byte_buffer.js';

type ResponseBody = Dispatcher.ResponseData['body'];

/**
 * Reads a complete body as JSON. If it exceeds the limit, the call rejects and
 * the connection is destroyed: a faulty peer may send bytes without end.
 */
export async function readBoundedJson(
  body: ResponseBody,
  maxBytes: number,
  peer: string,
): Promise<unknown> {
  const bytes = await readBounded(body, maxBytes, peer);
  return JSON.parse(bytes.toString('utf8')) as unknown;
}

async function readBounded(
  body: ResponseBody,
  maxBytes: number,
  peer: string,
): Promise<Buffer> {
  const bytes = new ByteBuffer({maxBytes, bytesPerPiece: PIECE_COST_BYTES});
  // Throwing out of the loop destroys the body and its connection.
  for await (const chunk of body as AsyncIterable<Uint8Array>) {
    if (!bytes.append(chunk)) {
      throw new GatewayError({
        code: 'too_large',
        message: `the answer is larger than ${maxBytes} bytes`,
        step: 'http.read_answer',
        peer,
        work: 'unknown',
      });
    }
  }
  return bytes.take();
}
