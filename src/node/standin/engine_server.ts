/**
 * The HTTP interface of a stand-in model engine: OpenAI-compatible completions
 * with streaming, resume by byte offset, cancel, load reports and orders.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {closeServer, listen, readBody, sendJson} from '../http/server.js';
import {
  EngineState,
  type EngineOptions,
  type EngineOrder,
} from './engine_state.js';

const MAX_BODY_BYTES = 4 * 1024 * 1024;
const DEFAULT_MAX_TOKENS = 16;
const RESUMABLE_FOR_MS = 30_000;
const PREFIX_LENGTH = 64;
/** A prompt with this text ends the engine, to test crashing requests. */
export const CRASH_TEXT = 'crash the engine';

interface CompletionBody {
  readonly model: string;
  readonly stream?: boolean;
  readonly max_tokens?: number;
  readonly prompt?: string;
  readonly messages?: ReadonlyArray<{role: string; content: string}>;
}

interface GeneratedStream {
  bytes: Buffer;
  done: boolean;
  cancelled: boolean;
  readonly listeners: Set<() => void>;
}

function promptOf(body: CompletionBody): string {
  if (body.prompt !== undefined) return body.prompt;
  return (body.messages ?? []).map(message => message.content).join('\n');
}

function tokensFor(requestId: string, prompt: string, count: number): string[] {
  const words = prompt.split(/\s+/).filter(word => word !== '');
  return Array.from({length: count}, (_, position) => {
    const word = words[position % Math.max(1, words.length)] ?? 'token';
    return position === 0 ? `[${requestId}] ${word}` : ` ${word}`;
  });
}

function pieceOf(requestId: string, model: string, token: string): string {
  const piece = {
    id: `chatcmpl-${requestId}`,
    object: 'chat.completion.chunk',
    model,
    choices: [{index: 0, delta: {content: token}, finish_reason: null}],
  };
  return `data: ${JSON.stringify(piece)}\n\n`;
}

function wholeAnswer(requestId: string, model: string, tokens: string[]) {
  return {
    id: `chatcmpl-${requestId}`,
    object: 'chat.completion',
    model,
    choices: [
      {
        index: 0,
        message: {role: 'assistant', content: tokens.join('')},
        finish_reason: 'length',
      },
    ],
    usage: {completion_tokens: tokens.length},
  };
}

/** A stand-in engine that listens on one address. */
export class EngineServer {
  readonly state: EngineState;
  private readonly server: Server;
  private readonly streams = new Map<string, GeneratedStream>();

  constructor(
    options: EngineOptions,
    private readonly onCrash: () => void = () => undefined,
  ) {
    this.state = new EngineState(options);
    this.server = createServer((request, response) => {
      this.answer(request, response).catch(() => response.destroy());
    });
  }

  start(address: string): Promise<string> {
    return listen(this.server, address);
  }

  async stop(): Promise<void> {
    this.server.closeAllConnections();
    await closeServer(this.server);
  }

  /** Breaks every connection at once, as the end of the process would. */
  async crash(): Promise<void> {
    await this.stop();
    this.onCrash();
  }

  private async answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://engine');
    if (url.pathname.startsWith('/v1/streams/')) {
      await this.answerStreamRequest(request, response, url);
      return;
    }
    const handlers: Record<string, () => Promise<void>> = {
      '/v1/chat/completions': () => this.complete(request, response),
      '/v1/completions': () => this.complete(request, response),
      '/load': async () => sendJson(response, 200, this.state.load()),
      '/orders': () => this.takeOrder(request, response),
      '/cache-events': async () => {
        const after = Number(url.searchParams.get('after') ?? 0);
        sendJson(response, 200, this.state.cacheEventsAfter(after));
      },
      '/test/state': () => this.setTestState(request, response),
      '/test/executions': async () =>
        sendJson(response, 200, this.state.executions),
    };
    const handler = handlers[url.pathname];
    if (handler === undefined) {
      sendJson(response, 404, {error: 'not found'});
      return;
    }
    await handler();
  }

  private async complete(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const bytes = await readBody(request, MAX_BODY_BYTES);
    const body = JSON.parse(bytes.toString('utf8')) as CompletionBody;
    const requestId = String(request.headers['x-request-id'] ?? 'anonymous');
    if (this.state.leaving || !this.state.serves(body.model)) {
      response.setHeader('x-not-run', '1');
      sendJson(response, 503, {error: 'not accepting this work'});
      return;
    }
    if (promptOf(body).includes(CRASH_TEXT)) {
      this.state.executions.push(requestId);
      await this.crash();
      return;
    }
    if (this.state.silent) return;
    await this.run(requestId, body, response);
  }

  private async run(
    requestId: string,
    body: CompletionBody,
    response: ServerResponse,
  ): Promise<void> {
    const stream: GeneratedStream = {
      bytes: Buffer.alloc(0),
      done: false,
      cancelled: false,
      listeners: new Set(),
    };
    this.streams.set(requestId, stream);
    const freeSlot = await this.state.takeSlot(requestId);
    const generated = this.generate(requestId, body, stream).finally(() => {
      freeSlot();
      setTimeout(
        () => this.streams.delete(requestId),
        RESUMABLE_FOR_MS,
      ).unref();
    });
    if (body.stream === true) {
      await this.relayFrom(requestId, stream, 0, response);
      return;
    }
    const tokens = await generated;
    if (stream.cancelled) return;
    response.setHeader('x-request-id', requestId);
    sendJson(response, 200, wholeAnswer(requestId, body.model, tokens));
  }

  private async generate(
    requestId: string,
    body: CompletionBody,
    stream: GeneratedStream,
  ): Promise<string[]> {
    const prompt = promptOf(body);
    const count = body.max_tokens ?? DEFAULT_MAX_TOKENS;
    const tokens = tokensFor(requestId, prompt, count);
    await sleep(this.state.prefillMsFor(prompt.slice(0, PREFIX_LENGTH)));
    for (const token of tokens) {
      if (stream.cancelled) break;
      appendTo(stream, pieceOf(requestId, body.model, token));
      await sleep(this.state.tokenMs());
    }
    if (!stream.cancelled) appendTo(stream, 'data: [DONE]\n\n');
    stream.done = true;
    notify(stream);
    return tokens;
  }

  private async answerStreamRequest(
    request: IncomingMessage,
    response: ServerResponse,
    url: URL,
  ): Promise<void> {
    const requestId = decodeURIComponent(
      url.pathname.slice('/v1/streams/'.length),
    );
    const stream = this.streams.get(requestId);
    if (stream === undefined) {
      sendJson(response, 404, {error: 'no such stream'});
      return;
    }
    if (request.method === 'DELETE') {
      stream.cancelled = true;
      this.state.cancelledIds.push(requestId);
      sendJson(response, 200, {cancelled: true});
      return;
    }
    const offset = Number(url.searchParams.get('offset') ?? 0);
    await this.relayFrom(requestId, stream, offset, response);
  }

  private async relayFrom(
    requestId: string,
    stream: GeneratedStream,
    offsetBytes: number,
    response: ServerResponse,
  ): Promise<void> {
    let sentBytes = offsetBytes;
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'x-request-id': requestId,
      'x-stream-offset': String(offsetBytes),
    });
    response.flushHeaders();
    while (!response.destroyed) {
      if (!this.state.silent && sentBytes < stream.bytes.length) {
        response.write(stream.bytes.subarray(sentBytes));
        sentBytes = stream.bytes.length;
      }
      if (stream.done && sentBytes >= stream.bytes.length) break;
      await changeOf(stream, response);
    }
    if (!this.state.silent) response.end();
  }

  private async takeOrder(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const bytes = await readBody(request, MAX_BODY_BYTES);
    const accepted = this.state.order(
      JSON.parse(bytes.toString('utf8')) as EngineOrder,
    );
    sendJson(response, accepted ? 200 : 409, {accepted});
  }

  private async setTestState(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const bytes = await readBody(request, MAX_BODY_BYTES);
    const wanted = JSON.parse(bytes.toString('utf8')) as {
      leaving?: boolean;
      silent?: boolean;
    };
    this.state.leaving = wanted.leaving ?? this.state.leaving;
    this.state.silent = wanted.silent ?? this.state.silent;
    sendJson(response, 200, this.state.load());
  }
}

function appendTo(stream: GeneratedStream, text: string): void {
  stream.bytes = Buffer.concat([stream.bytes, Buffer.from(text)]);
  notify(stream);
}

function notify(stream: GeneratedStream): void {
  const listeners = [...stream.listeners];
  stream.listeners.clear();
  listeners.forEach(listener => listener());
}

function changeOf(
  stream: GeneratedStream,
  response: ServerResponse,
): Promise<void> {
  return new Promise(resolve => {
    const onChange = (): void => {
      stream.listeners.delete(onChange);
      response.off('close', onChange);
      resolve();
    };
    stream.listeners.add(onChange);
    response.once('close', onChange);
  });
}
