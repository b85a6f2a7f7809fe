"""A proxy in front of a control address that can hold single heartbeats.

A connection is made to the control address only when a request goes on, so
that a held request arrives late on a connection of its own.
"""
import socket
import threading
import time


class Relay:
    def __init__(self, address, to_address, on_event):
        self.to_address = to_address
        self.on_event = on_event
        # Seconds by which each request that arrives now is late.
        self.delay_s = 0.0
        self.listener = socket.create_server(address, backlog=32)
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while True:
            sock, _ = self.listener.accept()
            threading.Thread(target=self.serve, args=(sock, self.delay_s),
                             daemon=True).start()

    def serve(self, sock, delay_s):
        with sock:
            data = read_request(sock)
            time.sleep(delay_s)
            try:
                with socket.create_connection(self.to_address,
                                              timeout=1) as control:
                    control.sendall(data)
                    answer = control.recv(4096)
                if delay_s > 0:
                    self.on_event("late", request=data.split(b"\r\n")[0].decode(),
                                  delay_s=delay_s,
                                  status=int(answer.split()[1]))
                sock.sendall(answer)
            except (OSError, IndexError):
                pass


def read_request(sock):
    data = b""
    while b"\r\n\r\n" not in data:
        piece = sock.recv(16384)
        if not piece:
            return data
        data += piece
    head, body = data.split(b"\r\n\r\n", 1)
    length = 0
    for line in head.split(b"\r\n")[1:]:
        if line.lower().startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    while len(body) < length:
        body += sock.recv(16384)
    return head + b"\r\n\r\n" + body
