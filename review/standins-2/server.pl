#!/usr/bin/perl
# A stand-in for a backend server of the users' platform. One process a connection, plain text, no HTTP library.
#
# usage: server.pl --port N --id ID --record FILE [--poison PART [--restart-after SECONDS --born FILE]] [--version N]
#
# The query of a call says how it is answered: after delay=MS of work, or with 504 once the stated time is over; or with
# events=N, bytes=N, interval=MS as a stream, which goes on after Last-Event-Id. Each call that is run is recorded as
# "TIME run SERVER ID TARGET", and the end of its work as "TIME end SERVER ID". Work ends when the caller closes.
#
# With --poison, the process crashes after the first event on a prompt with that part. With --restart-after, only the
# processes of the connections crash: the main process keeps its listening socket, takes no connection for so long, and
# serves again then, as a new instance with the same id. It writes the new time of its start to the file of --born.
#
# With --version, a call that states another version of the weights gets 421.
use strict;
use warnings;
use POSIX qw(WNOHANG);
use Socket qw(PF_INET SOCK_STREAM SOL_SOCKET IPPROTO_TCP TCP_NODELAY MSG_PEEK);
use Time::HiRes qw(time sleep);

my %option;
while (@ARGV) {
    my $name = shift @ARGV;
    $name =~ s/^--//;
    $option{$name} = shift @ARGV;
}
my %children;
my $isCrashed = 0;
$SIG{USR1} = sub { $isCrashed = 1 };
$SIG{PIPE} = 'IGNORE';
setpgrp(0, 0);
my $parent = $$;
$SIG{TERM} = sub {
    if ($$ == $parent) {
        $SIG{TERM} = 'IGNORE';
        kill 'TERM', -$parent;
    }
    exit 0;
};

sub record {
    my ($text) = @_;
    open(my $file, '>>', $option{record}) or return;
    syswrite($file, sprintf("%.3f %s\n", time, $text));
    close $file;
}

# Ends this process and all of its connections at once, as a crash does.
sub crash {
    record("crash $option{id}");
    if ($option{'restart-after'}) {
        kill 'USR1', $parent;
        sleep 10;
    }
    kill 'KILL', -$parent;
}

sub write_all {
    my ($socket, $text) = @_;
    my $offset = 0;
    while ($offset < length $text) {
        my $written = syswrite($socket, $text, length($text) - $offset, $offset);
        return 0 unless $written;
        $offset += $written;
    }
    return 1;
}

# The first bytes of a message up to the empty line, then what was read beyond it.
sub read_head {
    my ($socket, $rest) = @_;
    my $text = $rest;
    while ($text !~ /\r\n\r\n/) {
        return unless sysread($socket, $text, 4096, length $text);
    }
    my ($head, $more) = $text =~ /^(.*?\r\n)\r\n(.*)$/s;
    return ($head, $more);
}

sub read_body {
    my ($socket, $body, $length) = @_;
    while (length $body < $length) {
        return unless sysread($socket, $body, 65536, length $body);
    }
    return $body;
}

# Works for so many seconds, or until the caller closes the connection: a server drops a request then.
sub work {
    my ($socket, $seconds) = @_;
    my $endAt = time + $seconds;
    while (time < $endAt) {
        my $readable = '';
        vec($readable, fileno $socket, 1) = 1;
        if (select($readable, undef, undef, $endAt - time)) {
            my $end = recv($socket, my $byte, 1, MSG_PEEK);
            return 0 if !defined $end || $byte eq '';
            sleep 0.02;
        }
    }
    return 1;
}

sub chunk {
    my ($text) = @_;
    return sprintf("%x\r\n%s\r\n", length $text, $text);
}

sub answer {
    my ($socket, $head, $body) = @_;
    my ($method, $target) = $head =~ /^(\S+) (\S+)/;
    my $field = sub { my ($name) = @_; return $head =~ /^\Q$name\E:[ \t]*(.*?)[ \t]*\r$/im ? $1 : '' };
    my $number = sub { my ($name, $default) = @_; return $target =~ /[?&]\Q$name\E=([0-9.]+)/ ? $1 : $default };
    my $id = $field->('Cardamomhill-Request-Id');
    my $start = "Cardamomhill-Request-Id: $id\r\n";
    my $refused = "${start}Cardamomhill-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
    my $instance = $field->('Cardamomhill-Target-Instance');
    my $expected = $field->('Cardamomhill-Expected-Version');
    if (($instance ne '' && $instance ne $option{id})
        || ($expected ne '' && defined $option{version} && $expected ne $option{version})) {
        record("misdirected $option{id} $id");
        return write_all($socket, "HTTP/1.1 421 Misdirected\r\nAt-Server: $option{id}\r\n$refused");
    }
    record("run $option{id} $id $target");
    my $seal = "${start}Cardamomhill-Response-Seal: seal-$id\r\n";
    my $versions = defined $option{version} ? "Cardamomhill-Weight-Versions: $option{version}\r\n" : '';
    my @parts = map { (split /:/)[0] } split /,/, $field->('Cardamomhill-Prompt-Prefix');
    my $isPoisoned = defined $option{poison} && grep { $_ eq $option{poison} } @parts;
    my $events = $number->('events', 0);
    if ($events > 0) {
        my $last = $field->('Last-Event-Id') || 0;
        my $data = 'x' x $number->('bytes', 50);
        my $head = "HTTP/1.1 200 OK\r\n$seal${versions}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        return 0 unless write_all($socket, $head);
        for my $event ($last + 1 .. $events) {
            sleep $number->('interval', 20) / 1000;
            return 0 unless write_all($socket, chunk("id: $event\ndata: $data\n\n"));
            crash() if $isPoisoned;
        }
        return write_all($socket, "0\r\n\r\n");
    }
    my $work = $number->('delay', 0);
    my $deadline = $field->('Cardamomhill-Request-Deadline');
    if ($deadline ne '' && $work > $deadline) {
        sleep $deadline / 1000;
        my $late = 'deadline';
        return write_all($socket, "HTTP/1.1 504 Late\r\n${seal}Content-Length: 8\r\n\r\n$late");
    }
    my $isWanted = work($socket, $work / 1000);
    record("end $option{id} $id");
    return 0 unless $isWanted;
    my $text = "answer to $id";
    return write_all($socket, "HTTP/1.1 200 OK\r\n$seal${versions}Content-Length: " . length($text) . "\r\n\r\n$text");
}

socket(my $listener, PF_INET, SOCK_STREAM, 0) or die "socket: $!";
setsockopt($listener, SOL_SOCKET, Socket::SO_REUSEADDR(), 1);
bind($listener, Socket::sockaddr_in($option{port}, Socket::inet_aton('127.0.0.1'))) or die "bind: $!";
listen($listener, 256) or die "listen: $!";
sub reap {
    while ((my $ended = waitpid(-1, WNOHANG)) > 0) {
        delete $children{$ended};
    }
}

while (1) {
    my $isAccepted = accept(my $socket, $listener);
    reap();
    if ($isCrashed) {
        $isCrashed = 0;
        # None of these was waited for, so no other process can have its id.
        kill 'KILL', keys %children;
        close $socket if $isAccepted;
        sleep $option{'restart-after'};
        open(my $file, '>', $option{born});
        printf $file "%d\n", time * 1000;
        close $file;
        next;
    }
    next unless $isAccepted;
    my $child = fork;
    next unless defined $child;
    if ($child > 0) {
        $children{$child} = 1;
        next;
    }
    $SIG{USR1} = 'DEFAULT';
    close $listener;
    setsockopt($socket, IPPROTO_TCP, TCP_NODELAY, 1);
    my $rest = '';
    while (1) {
        my ($head, $more) = read_head($socket, $rest);
        last unless defined $head;
        my ($length) = $head =~ /^Content-Length:[ \t]*(\d+)/im;
        my $body = read_body($socket, $more, $length || 0);
        last unless defined $body;
        $rest = substr($body, $length || 0);
        last unless answer($socket, $head, substr($body, 0, $length || 0));
    }
    exit 0;
}
