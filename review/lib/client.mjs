import { connect } from 'node:net'

/**
 * Sends one request on a connection of its own and reads until the connection ends; tells how it ended. A reset, or the end of the connection
 * before the stated length or the last chunk, is an answer that broke off; without any framing the end of the connection is the end of the body.
 */
export const callOnce = async ({ host, port, method = 'GET', path, id, deadlineMs, headerHost, body = Buffer.alloc(0) }) => await new Promise(resolve => {
  const socket = connect({ host, port, noDelay: true })
  const parts = []
  let error
  const finish = () => {
    clearTimeout(timer)
    socket.destroy()
    resolve(describe(Buffer.concat(parts), error))
  }
  const timer = setTimeout(() => {
    error = 'gave up'
    finish()
  }, deadlineMs)
  socket.on('connect', () => {
    const length = method === 'GET' ? '' : `Content-Length: ${body.length}\r\n`
    socket.write(`${method} ${path} HTTP/1.1\r\nHost: ${headerHost}\r\nX-Lovagehoist-Request-Id: ${id}\r\nX-Lovagehoist-Deadline-Ms: ${deadlineMs}\r\n${length}\r\n`)
    if (body.length > 0) socket.write(body)
  })
  socket.on('data', part => {
    parts.push(part)
    if (isWhole(Buffer.concat(parts.length > 4 ? [parts[0]] : parts), parts)) finish()
  })
  // Node.js may report data that was followed by a reset as an orderly end; a connection that was reset has no peer address any more.
  socket.on('end', () => { if (socket.remoteAddress === undefined) error ??= 'ECONNRESET' })
  socket.on('error', ({ code }) => { error = code })
  socket.on('close', finish)
})

const headOf = bytes => {
  const end = bytes.indexOf('\r\n\r\n')
  if (end < 0) return undefined
  const [first, ...lines] = bytes.subarray(0, end).toString('latin1').split('\r\n')
  const headers = new Map(lines.map(line => [line.slice(0, line.indexOf(':')).toLowerCase(), line.slice(line.indexOf(':') + 1).trim()]))
  return { status: Number(first.split(' ')[1]), headers, end: end + 4 }
}

/** Whether an answer with a length is complete; the others are read until the connection ends. */
const isWhole = (start, parts) => {
  const head = headOf(start)
  if (head === undefined) return false
  const length = head.headers.get('content-length')
  if (length === undefined) return false
  return parts.reduce((sum, part) => sum + part.length, 0) >= head.end + Number(length)
}

const readChunks = bytes => {
  const parts = []
  for (let at = 0; ;) {
    const end = bytes.indexOf('\r\n', at)
    if (end < 0) return { body: Buffer.concat(parts), isComplete: false }
    const size = parseInt(bytes.subarray(at, end).toString('latin1'), 16)
    if (size === 0) return { body: Buffer.concat(parts), isComplete: true }
    parts.push(bytes.subarray(end + 2, Math.min(bytes.length, end + 2 + size)))
    if (end + 2 + size + 2 > bytes.length) return { body: Buffer.concat(parts), isComplete: false }
    at = end + 2 + size + 2
  }
}

const describe = (bytes, error) => {
  const head = headOf(bytes)
  if (head === undefined) return { status: undefined, headers: new Map(), body: Buffer.alloc(0), isComplete: false, framing: 'none', error }
  const { status, headers, end } = head
  const rest = bytes.subarray(end)
  if (headers.get('transfer-encoding') === 'chunked') return { status, headers, ...readChunks(rest), framing: 'chunked', error }
  if (headers.has('content-length')) return { status, headers, body: rest, isComplete: rest.length === Number(headers.get('content-length')), framing: 'length', error }
  return { status, headers, body: rest, isComplete: error === undefined, framing: 'until the connection ends', error }
}
