import { connect, createServer } from 'node:net'
import type { AddressInfo, Server, Socket } from 'node:net'
import { once } from 'node:events'
import { SystemClock } from '@lovagehoist/common'
import { expect } from 'chai'
import { TcpProxy } from './tcpProxy.js'

describe('TcpProxy', () => {
  let echo: Server
  let proxy: TcpProxy
  const clients: Socket[] = []
  const clock = SystemClock.create()

  beforeEach(async () => {
    echo = createServer(socket => { socket.pipe(socket) })
    echo.listen(0, '127.0.0.1')
    await once(echo, 'listening')
    proxy = await TcpProxy.create(clock, '127.0.0.1')
    proxy.setDestination({ host: '127.0.0.1', port: (echo.address() as AddressInfo).port })
  })

  afterEach(async () => {
    for (const client of clients.splice(0)) client.destroy()
    await proxy.close()
    echo.close()
  })

  const dial = (localAddress: string): Socket => {
    const socket = connect({ port: proxy.port, host: '127.0.0.1', localAddress })
    clients.push(socket)
    return socket
  }

  it('forwards data in both directions', async () => {
    const client = dial('127.0.0.2')
    client.write('hello')
    const [chunk] = await once(client, 'data') as [Buffer]
    expect(chunk.toString()).to.equal('hello')
  })

  it('drops the data of one source and forwards that of another', async () => {
    proxy.setFault('127.0.0.3', { isCut: true })
    const cut = dial('127.0.0.3')
    let received = 0
    cut.on('data', chunk => { received += chunk.length })
    cut.write('lost')
    const other = dial('127.0.0.2')
    other.write('carried')
    const [chunk] = await once(other, 'data') as [Buffer]
    expect(chunk.toString()).to.equal('carried')
    while (proxy.droppedBytes < 'lost'.length) await clock.sleepMs(1)
    expect(received).to.equal(0)
    proxy.setFault('127.0.0.3', { isCut: false })
    cut.write('again')
    const [later] = await once(cut, 'data') as [Buffer]
    expect(later.toString()).to.equal('again')
  })

  it('keeps a connection silent after it lost data, and forwards a new one', async () => {
    proxy.setFault('127.0.0.2', { isResponseSilent: true })
    const silent = dial('127.0.0.2')
    let received = 0
    silent.on('data', chunk => { received += chunk.length })
    silent.write('lost')
    while (proxy.droppedBytes < 'lost'.length) await clock.sleepMs(1)
    proxy.setFault('127.0.0.2', {})
    silent.write('again')
    while (proxy.droppedBytes < 'lostagain'.length) await clock.sleepMs(1)
    expect(received).to.equal(0)
    const other = dial('127.0.0.2')
    other.write('carried')
    const [chunk] = await once(other, 'data') as [Buffer]
    expect(chunk.toString()).to.equal('carried')
  })

  it('forwards a reset as a reset', async () => {
    echo.removeAllListeners('connection').on('connection', (socket: Socket) => { socket.resetAndDestroy() })
    const [error] = await once(dial('127.0.0.2'), 'error') as [NodeJS.ErrnoException]
    expect(error.code).to.equal('ECONNRESET')
  })

  it('keeps the order of data when a delay is removed', async () => {
    proxy.setFault('127.0.0.2', { delayMs: 50 })
    const client = dial('127.0.0.2')
    let text = ''
    client.on('data', chunk => { text += chunk.toString() })
    client.write('one')
    await clock.sleepMs(10)
    proxy.setFault('127.0.0.2', {})
    client.write('two')
    while (text.length < 6) await clock.sleepMs(5)
    expect(text).to.equal('onetwo')
  })
})
