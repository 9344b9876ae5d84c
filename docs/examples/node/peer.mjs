// A client of a gateway, written from docs/protocol-client.md and docs/protocol-grpc.md alone.
//   npm install && node peer.mjs 127.0.0.1:8080 127.0.0.1:8090 CLASS FUNCTION [TOKEN]
import http2 from 'node:http2';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import grpc from '@grpc/grpc-js';
import loader from '@grpc/proto-loader';

const [http, rpc, requestClass, fn, token] = process.argv.slice(2);
const deadlineMs = 2000;

function overHttp() {
  return new Promise((resolve) => {
    const session = http2.connect(`http://${http}`);
    session.on('error', (e) => resolve({ answer: 'broken', reason: e.message }));
    const headers = { ':method': 'POST', ':path': `/v1/call/${fn}`, 'wh-class': requestClass, 'wh-deadline-ms': String(deadlineMs) };
    if (token) headers.authorization = `Bearer ${token}`;
    const stream = session.request(headers);
    let head = {};
    const parts = [];
    stream.on('response', (h) => { head = h; });
    stream.on('data', (d) => parts.push(d));
    stream.on('error', (e) => resolve({ answer: 'broken', reason: e.message }));
    stream.on('end', () => {
      session.close();
      const answer = head['wh-answer'] ?? 'invalid';
      resolve({ answer, reason: answer === 'invalid' ? Buffer.concat(parts).toString().trim() : head['wh-reason'] ?? '',
        body: answer === 'served' ? Buffer.concat(parts).toString() : undefined });
    });
    stream.end('input');
  });
}

function overGrpc() {
  const proto = path.join(path.dirname(fileURLToPath(import.meta.url)), '../../../protocol-grpc/src/main/protobuf/gateway.proto');
  const { wharfhinge } = grpc.loadPackageDefinition(loader.loadSync(proto, { keepCase: true }));
  const client = new wharfhinge.v1.Gateway(rpc, grpc.credentials.createInsecure());
  const metadata = new grpc.Metadata();
  if (token) metadata.set('authorization', `Bearer ${token}`);
  return new Promise((resolve) => {
    client.Call({ function: fn, request_class: requestClass, body: Buffer.from('input') }, metadata,
      { deadline: Date.now() + deadlineMs }, (error, reply) => {
        client.close();
        if (!error) return resolve({ answer: 'served', reason: '', body: reply.body.toString() });
        const told = error.metadata?.get('wh-answer')[0];
        const invalid = [grpc.status.INVALID_ARGUMENT, grpc.status.UNAUTHENTICATED, grpc.status.PERMISSION_DENIED].includes(error.code);
        return resolve({ answer: told ?? (invalid ? 'invalid' : 'broken'), reason: error.metadata?.get('wh-reason')[0] ?? error.details });
      });
  });
}

const both = { http: await overHttp(), grpc: await overGrpc() };
console.log(JSON.stringify(both, null, 2));
process.exit(both.http.answer === both.grpc.answer ? 0 : 1);
